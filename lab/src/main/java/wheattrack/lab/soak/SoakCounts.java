package wheattrack.lab.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the outcomes of requests and the failures of a soak run. Thread-safe. */
final class SoakCounts {
  /** When a request was sent. */
  enum Phase {
    /** Before the first SIGTERM. */
    SERVING,
    /** After the first SIGTERM. */
    LEAVING
  }

  /** The position of a request on its connection. */
  enum Position {
    /** The first request of the connection. */
    FIRST,
    /** Any later request of the connection. */
    FURTHER
  }

  /** How a request ended for its client. */
  enum Outcome {
    /** Answered with status 200. */
    ANSWERED,
    /** Answered with status 429 or 503. */
    REJECTED,
    /** Answered with any other status. */
    FAILED,
    /**
     * Its connection was closed before the answer, as an earlier answer had announced. The proxy
     * had read none of the request, or may have read it together with others of a pipeline.
     */
    CLOSED_AS_SAID,
    /**
     * Its connection was closed before the answer without announcement, and the proxy had read none
     * of the request.
     */
    CLOSED_UNREAD,
    /** Its connection was closed before the answer, and the proxy had read bytes of the request. */
    CLOSED_AFTER_READING,
    /** Not answered within the time that the operators' pages allow. */
    LATE
  }

  /** A failure that is counted apart from the outcomes of requests. */
  enum Event {
    /** Backends received a non-idempotent request more than once. */
    RUN_TWICE,
    /** A backend received an attempt too long after the client had closed its connection. */
    SENT_AFTER_CLIENT_LEFT,
    /**
     * A client that stopped amid a message got neither an answer nor a closed connection in time.
     */
    STOPPED_CLIENT_KEPT,
    /** A process was still alive when the time for its SIGKILL had come. */
    ALIVE_AT_KILL,
    /** A process ended without SIGTERM, or did not become ready in time. */
    CRASHED,
    /**
     * The proxy's log has "client closed unanswered": bytes were read from a connection after it
     * was closed.
     */
    READ_DROPPED,
    /** The proxy's log has "a step failed". */
    STEP_FAILED,
    /** The proxy's log has "past its due". */
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
   * The counts of what the operators' pages forbid, by the name of the event or the key of the
   * requests. They allow the proxy to close a connection without reading a further request on it,
   * and, beside a crowd, without reading the first request either.
   *
   * @param hasCrowd whether a crowd of idle clients was connected during the run
   */
  synchronized Map<String, Integer> violations(boolean hasCrowd) {
    Map<String, Integer> violations = new TreeMap<>();
    events.forEach((event, count) -> violations.put(event.name(), count));
    requests.forEach(
        (key, count) -> {
          boolean isViolation =
              switch (key.outcome) {
                case CLOSED_AFTER_READING, LATE -> true;
                case CLOSED_UNREAD -> key.position == Position.FIRST && !hasCrowd;
                default -> false;
              };
          if (isViolation) {
            violations.put(key.toString(), count);
          }
        });
    return violations;
  }

  /** The counts of all requests by phase, position and outcome, as text. */
  synchronized String requestsText() {
    return requests.toString();
  }
}
