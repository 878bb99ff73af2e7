package wheattrack.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one seed plays; the same seed draws the same plan. Times are milliseconds after the clients'
 * start unless said otherwise.
 *
 * @param seed all draws come from it
 * @param crowd who else is connected
 * @param crowdSize how many of them
 * @param isUpgrade whether a second process takes over, rather than the proxy ending alone
 * @param hangups when SIGHUP is sent, in order
 * @param brokenHangups how many of them find a broken configuration file
 * @param terminateAt when the first SIGTERM is sent
 * @param furtherTerminations further SIGTERMs, milliseconds after the first
 * @param hangupAfterTermination when SIGHUP is sent after the first SIGTERM, or negative
 * @param backendTrouble what one of the backends does from the first SIGTERM on
 */
record SoakPlan(
    long seed,
    Crowd crowd,
    int crowdSize,
    boolean isUpgrade,
    List<Integer> hangups,
    int brokenHangups,
    int terminateAt,
    List<Integer> furtherTerminations,
    int hangupAfterTermination,
    BackendTrouble backendTrouble) {

  /** Clients that hold connections and send no request. */
  enum Crowd {
    /** There are none. */
    NONE,
    /** They stay silent, and connect again as soon as they are closed. */
    SILENT,
    /** They send half a head, and connect again as soon as they are closed. */
    HALF_HEAD
  }

  /** What one backend does while the proxy leaves. */
  enum BackendTrouble {
    /** Nothing. */
    NONE,
    /** It answers no request any more. */
    HANGS,
    /** Discovery lists it as draining. */
    DRAINS
  }

  /** How a client uses its connections. */
  enum ClientKind {
    /** One request after another. */
    BUSY,
    /** Two requests at a time. */
    PIPELINING,
    /** A request, then none until the proxy closes or the client's rest is over. */
    RESTING,
    /** Half a head or half a body, and then silence. */
    STOPPING,
    /** A request, after which the client closes its connection at once. */
    LEAVING,
    /** One request after another, each with a body of {@link #LONG_BODY_BYTES}. */
    LONG_BODIES
  }

  /** The length of a long body. */
  static final int LONG_BODY_BYTES = 300_000;

  private static final int MIN_CROWD = 150;
  private static final int MAX_EXTRA_CROWD = 150;
  private static final int MIN_SERVING_MILLIS = 1000;
  private static final int MAX_EXTRA_SERVING_MILLIS = 1000;

  /** Signals of a series follow each other within this time. */
  private static final int SERIES_MILLIS = 300;

  private static final int MAX_SIGNALS = 4;
  private static final double CROWD_SHARE = 0.4;
  private static final double UPGRADE_SHARE = 0.3;

  /** Draws the plan of a seed. */
  static SoakPlan draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Crowd crowd =
        random.nextDouble() >= CROWD_SHARE
            ? Crowd.NONE
            : random.nextBoolean() ? Crowd.SILENT : Crowd.HALF_HEAD;
    int crowdSize = MIN_CROWD + random.nextInt(MAX_EXTRA_CROWD);
    boolean isUpgrade = random.nextDouble() < UPGRADE_SHARE;
    int terminateAt = MIN_SERVING_MILLIS + random.nextInt(MAX_EXTRA_SERVING_MILLIS);
    List<Integer> hangups = series(random, terminateAt - SERIES_MILLIS);
    int broken = hangups.isEmpty() ? 0 : random.nextInt(hangups.size() + 1);
    List<Integer> terminations = series(random, 0);
    int lateHangup = random.nextBoolean() ? random.nextInt(SERIES_MILLIS) : -1;
    BackendTrouble trouble = BackendTrouble.values()[random.nextInt(3)];
    return new SoakPlan(
        seed,
        crowd,
        crowd == Crowd.NONE ? 0 : crowdSize,
        isUpgrade,
        hangups,
        broken,
        terminateAt,
        terminations,
        lateHangup,
        trouble);
  }

  private static List<Integer> series(SplittableRandom random, int latestStart) {
    int start = latestStart > 0 ? random.nextInt(latestStart) : 0;
    List<Integer> times = new ArrayList<>();
    for (int i = random.nextInt(MAX_SIGNALS); i > 0; i--) {
      times.add(start + random.nextInt(SERIES_MILLIS));
    }
    times.sort(null);
    return times;
  }

  /** The kind of the client with this index. */
  static ClientKind clientKind(int index) {
    return switch (index % 12) {
      case 6 -> ClientKind.PIPELINING;
      case 7, 8 -> ClientKind.RESTING;
      case 9 -> ClientKind.STOPPING;
      case 10 -> ClientKind.LEAVING;
      case 11 -> ClientKind.LONG_BODIES;
      default -> ClientKind.BUSY;
    };
  }
}
