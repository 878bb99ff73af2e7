package wheattrack.net.client;

import java.util.LinkedHashSet;
import java.util.Set;
import wheattrack.aio.EventLoop;

/**
 * Establishes at regular times which reads of long bodies wait for their clients. All connections
 * share one check, as each costs some rounds of the event loop. Runs on the event loop's thread
 * only.
 */
final class BodyArrivalChecker {
  /** The time between two checks, in tenths of a millisecond. */
  private static final long CHECK_INTERVAL = 500;

  private final EventLoop loop;
  private final Set<BodyArrival> tracked = new LinkedHashSet<>();
  private boolean isScheduled;

  BodyArrivalChecker(EventLoop loop) {
    this.loop = loop;
  }

  /** Includes a body in the checks. */
  void add(BodyArrival arrival) {
    tracked.add(arrival);
    scheduleCheck();
  }

  /** Excludes a body from the checks; does nothing if it is not included. */
  void remove(BodyArrival arrival) {
    tracked.remove(arrival);
  }

  private void scheduleCheck() {
    if (!isScheduled && !tracked.isEmpty()) {
      isScheduled = true;
      loop.schedule(CHECK_INTERVAL, this::check);
    }
  }

  /** The second step runs behind all that has arrived before it was queued. */
  private void check() {
    tracked.forEach(BodyArrival::beginCheck);
    loop.execute(
        () -> {
          tracked.forEach(BodyArrival::endCheck);
          isScheduled = false;
          scheduleCheck();
        });
  }
}
