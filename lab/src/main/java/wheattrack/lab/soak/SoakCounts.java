package wheattrack.lab.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts how requests and processes ended. Any thread may call it. */
final class SoakCounts {
  /** When a request was sent. */
  enum Phase {
    /** Before the first SIGTERM. */
    SERVING,
    /** After it. */
    LEAVING
  }

  /** Which request of its connection one is. */
  enum Position {
    FIRST,
    FURTHER
  }

  /** How a request ended for its client. */
  enum Outcome {
    ANSWERED,
    REJECTED,
    FAILED,
    /** Its connection ended unanswered, as the proxy had said; it had not been read on its own. */
    CLOSED_AS_SAID,
    /** Its connection ended unanswered, and the proxy had read none of the request. */
    CLOSED_UNREAD,
    /** Its connection ended unanswered, and the proxy had read bytes of the request. */
    CLOSED_AFTER_READING,
    /** Answered later than the operators allow, or never. */
    LATE
  }

  /** What else is counted. */
  enum Event {
    /** A non-idempotent request was received by backends more than once. */
    RUN_TWICE,
    /** An attempt began more than the allowed time after its client had closed. */
    SENT_AFTER_CLIENT_LEFT,
    /** A client that stopped amid a message got neither an answer nor a close in time. */
    STOPPED_CLIENT_KEPT,
    /** A process had to be killed, as it had not ended by the kill. */
    ALIVE_AT_KILL,
    /** A process ended before SIGTERM, or never became ready. */
    CRASHED,
    /** The log says that bytes were read from a connection after it was closed. */
    READ_DROPPED,
    /** The log says "a step failed". */
    STEP_FAILED,
    /** The log says "past its due". */
    PAST_DUE
  }

  private record Key(Phase phase, Position position, Outcome outcome) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
      return phase + "." + position + "." + outcome;
    }
  }

  private final Map<Key, Integer> requests = new TreeMap<>();
  private final Map<Event, Integer> events = new EnumMap<>(Event.class);

  synchronized void count(Phase phase, Position position, Outcome outcome) {
    requests.merge(new Key(phase, position, outcome), 1, Integer::sum);
  }

  synchronized void count(Event event, int times) {
    if (times > 0) {
      events.merge(event, times, Integer::sum);
    }
  }

  synchronized void addAll(SoakCounts other) {
    other.requests.forEach((key, count) -> requests.merge(key, count, Integer::sum));
    other.events.forEach((event, count) -> events.merge(event, count, Integer::sum));
  }

  /**
   * What the operators' pages forbid, by name. Clients may find a resting connection closed over a
   * request that was not read, and beside a crowd a new one too.
   */
  synchronized Map<String, Integer> violations(boolean hasCrowd) {
    Map<String, Integer> violations = new TreeMap<>();
    events.forEach((event, count) -> violations.put(event.name(), count));
    requests.forEach(
        (key, count) -> {
          boolean isLost =
              switch (key.outcome) {
                case CLOSED_AFTER_READING, LATE -> true;
                case CLOSED_UNREAD -> key.position == Position.FIRST && !hasCrowd;
                default -> false;
              };
          if (isLost) {
            violations.put(key.toString(), count);
          }
        });
    return violations;
  }

  /** All requests by phase, position and outcome. */
  synchronized String requestsText() {
    return requests.toString();
  }
}
