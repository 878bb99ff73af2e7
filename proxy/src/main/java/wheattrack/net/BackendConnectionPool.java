package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.BackendIndex;
import wheattrack.core.TimerQueue;

/**
 * A backend at the door: its address, the connections to it and the dispatches that wait for one.
 */
final class BackendConnectionPool extends BackendIndex.Backend<String> {
  final EventLoop loop;
  private final Connector dialler;

  /** At rest, the one used last at the end; coming up, to where it stands now. */
  private final List<BackendConnection> idle = new ArrayList<>(), dials = new ArrayList<>();

  private final Deque<BackendAttempt> waiting = new ArrayDeque<>();
  private boolean matching;
  private TimerQueue.Timer settling;
  InetSocketAddress address;
  private int attemptsInFlight;
  private boolean serving;
  private long up;

  BackendConnectionPool(String id, int at, Connector dialler) {
    super(id, at);
    this.dialler = dialler;
    loop = dialler.loop;
  }

  @Override
  protected boolean hasWorkInFlight() {
    return attemptsInFlight > 0;
  }

  /** Counts an attempt that is on its way to this backend; {@link #attemptEnded} must follow. */
  void attemptStarted() {
    attemptsInFlight++;
  }

  /** Counts an attempt as over: its outcome is known, or its long response is through. */
  void attemptEnded() {
    attemptsInFlight--;
  }

  /** It stands on the list, at this address since then; what leads to an earlier life is closed. */
  void onServing(InetSocketAddress at, long since) {
    serving = true;
    up = since;
    address = at;
    List.copyOf(idle).stream().filter(this::isOld).forEach(BackendConnection::close);
    List<BackendConnection> old = dials.stream().filter(this::isOld).toList();
    dials.removeAll(old);
    old.forEach(BackendConnection::close);
    arrange();
  }

  /** Whether it leads to where this backend was, or to an earlier life of it. */
  private boolean isOld(BackendConnection link) {
    return !link.remoteAddress.equals(address) || link.openedAt < up;
  }

  /** Whether this life of it, begun then, drains or is gone by what was told. */
  boolean hasLeftSince(long since) {
    return !serving && since <= up;
  }

  /** It drains or is gone: what is not yet begun there never will be. */
  void onDraining() {
    serving = false;
    for (BackendAttempt d : List.copyOf(waiting)) {
      loop.defer(() -> d.giveUp(AttemptOutcome.DISCARDED));
    }
    closeIdleConnections();
  }

  /** Closes what carries nothing now. */
  void closeIdleConnections() {
    List.copyOf(idle).forEach(BackendConnection::close);
  }

  /** Carries it on the connection used last, or on the first that is free or up. */
  void send(BackendAttempt d) {
    attemptStarted();
    waiting.add(d);
    arrange();
  }

  void removeWaiting(BackendAttempt d) {
    waiting.remove(d);
  }

  /**
   * Sees to what waits: by a connection that is free, once what has come on it by now is heard, as
   * its end may be among that; by one that settles, which is soon; or by a new one.
   */
  private void arrange() {
    if (waiting.isEmpty() || matching) {
      return;
    }
    long fit = idle.stream().mapToLong(BackendConnection::usableFrom).min().orElse(Long.MAX_VALUE);
    if (fit <= loop.now()) {
      matching = true;
      loop.execute(this::match);
      return;
    }
    while (dials.size() + idle.size() < waiting.size() && dial(waiting.peekLast())) {
      continue;
    }
    if (fit < Long.MAX_VALUE && settling == null) {
      settling =
          loop.schedule(
              fit - loop.now(),
              () -> {
                settling = null;
                arrange();
              });
    }
  }

  private void match() {
    matching = false;
    for (BackendConnection free = fit(); free != null && !waiting.isEmpty(); free = fit()) {
      BackendAttempt first = next();
      if (first != null) {
        idle.remove(free);
        free.send(first);
      }
    }
    arrange();
  }

  /** The free connection used last; one that should have been closed by now is no more used. */
  private BackendConnection fit() {
    for (int i = idle.size() - 1; i >= 0; i--) {
      BackendConnection free = idle.get(i);
      if (free.hasExceededIdleTimeout()) {
        free.close();
      } else if (free.usableFrom() <= loop.now()) {
        return free;
      }
    }
    return null;
  }

  /** What waits longest and may still begin; standstill: reqs were sent on after their due. */
  private BackendAttempt next() {
    BackendAttempt first = waiting.pollFirst();
    while (first != null && loop.now() >= first.latest) {
      first.giveUp(AttemptOutcome.DISCARDED);
      first = waiting.pollFirst();
    }
    return first;
  }

  private boolean dial(BackendAttempt d) {
    try {
      dials.add(dialler.connect(this));
      return true;
    } catch (IOException e) {
      loop.defer(
          () -> {
            d.giveUp(AttemptOutcome.DISCARDED);
            arrange();
          });
      return false;
    }
  }

  void onConnected(BackendConnection link) {
    if (dials.remove(link)) {
      BackendAttempt first = next();
      if (first != null) {
        link.send(first);
      } else {
        rest(link, 0);
      }
    }
  }

  void onConnectFailed(BackendConnection link) {
    if (dials.remove(link) && waiting.size() > dials.size()) {
      if (idle.isEmpty()) {
        waiting.peekFirst().end(AttemptOutcome.NO_CONNECT, null);
      } else {
        arrange();
      }
    }
  }

  /**
   * Its answer has come; it settles, as a second one may follow: that was taken for the next req's.
   */
  void release(BackendConnection link) {
    rest(link, dialler.quarantineTime());
    arrange();
  }

  private void rest(BackendConnection link, long settle) {
    if (serving && !isOld(link)) {
      idle.add(link);
      link.becomeIdle(settle);
    } else {
      link.close();
    }
  }

  void onClosed(BackendConnection link) {
    if (idle.remove(link) && !waiting.isEmpty()) {
      loop.defer(this::arrange); // what waits may have counted on it
    }
  }
}
