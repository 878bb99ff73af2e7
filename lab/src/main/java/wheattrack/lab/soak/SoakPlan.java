package wheattrack.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The plan of a soak run; the same seed draws the same plan. Times are milliseconds after the
 * clients' start unless said otherwise.
 *
 * @param seed seed of all random draws of the run
 * @param crowd which idle clients are connected besides those that send requests
 * @param crowdSize the number of idle clients
 * @param isUpgrade whether a second process takes over when the first one is terminated
 * @param hangups times at which SIGHUP is sent, ascending
 * @param brokenHangups how many of these, from the first on, find an invalid configuration file
 * @param terminateAt time of the first SIGTERM
 * @param furtherTerminations further SIGTERMs, milliseconds after the first
 * @param hangupAfterTermination time of another SIGHUP, milliseconds after the first SIGTERM;
 *     negative if there is none
 * @param backendTrouble fault of one of the backends from the first SIGTERM on
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

  /** Clients that hold connections and send no complete request. */
  enum Crowd {
    /** There are none. */
    NONE,
    /** They send nothing, and reconnect as soon as their connection is closed. */
    SILENT,
    /** They send the beginning of a head, and reconnect as soon as their connection is closed. */
    HALF_HEAD
  }

  /** Fault of one backend while the proxy shuts down. */
  enum BackendTrouble {
    /** No fault. */
    NONE,
    /** It leaves all further requests unanswered. */
    HANGS,
    /** Discovery lists it as draining. */
    DRAINS
  }

  /** How a client uses its connections. */
  enum ClientKind {
    /** Sends one request after another. */
    BUSY,
    /** Sends two requests at a time. */
    PIPELINING,
    /** Sends one request after another, with long pauses between them. */
    RESTING,
    /** Sends an incomplete head or body, and nothing more. */
    STOPPING,
    /** Sends a request, and closes its connection after a few milliseconds. */
    LEAVING,
    /** Sends one request after another, each with a body of {@link #LONG_BODY_BYTES}. */
    LONG_BODIES
  }

  /** The body length of the requests of clients with {@link ClientKind#LONG_BODIES}. */
  static final int LONG_BODY_BYTES = 300_000;

  private static final int MIN_CROWD_SIZE = 150;

  /** Exclusive bound of the clients that are drawn on top of the least crowd. */
  private static final int CROWD_SIZE_RANGE = 150;

  private static final int MIN_SERVING_MILLIS = 1000;

  /** Exclusive bound of the time that is drawn on top of the least serving time. */
  private static final int SERVING_RANGE_MILLIS = 1000;

  /** All signals of a series are sent within this time. */
  private static final int SERIES_MILLIS = 300;

  /** Exclusive bound of the number of signals of a series. */
  private static final int SIGNAL_COUNT_BOUND = 4;

  private static final double CROWD_PROBABILITY = 0.4;
  private static final double UPGRADE_PROBABILITY = 0.3;

  /** The kinds of the clients repeat after this many clients. */
  private static final int CLIENT_KIND_PERIOD = 12;

  /** Draws the plan of a seed. */
  static SoakPlan draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Crowd crowd =
        random.nextDouble() >= CROWD_PROBABILITY
            ? Crowd.NONE
            : random.nextBoolean() ? Crowd.SILENT : Crowd.HALF_HEAD;
    int crowdSize = MIN_CROWD_SIZE + random.nextInt(CROWD_SIZE_RANGE);
    boolean isUpgrade = random.nextDouble() < UPGRADE_PROBABILITY;
    int terminateAt = MIN_SERVING_MILLIS + random.nextInt(SERVING_RANGE_MILLIS);
    List<Integer> hangups = drawSignalTimes(random, terminateAt - SERIES_MILLIS);
    int brokenHangups = hangups.isEmpty() ? 0 : random.nextInt(hangups.size() + 1);
    List<Integer> terminations = drawSignalTimes(random, 0);
    int hangupAfterTermination = random.nextBoolean() ? random.nextInt(SERIES_MILLIS) : -1;
    BackendTrouble[] troubles = BackendTrouble.values();
    BackendTrouble trouble = troubles[random.nextInt(troubles.length)];
    return new SoakPlan(
        seed,
        crowd,
        crowd == Crowd.NONE ? 0 : crowdSize,
        isUpgrade,
        hangups,
        brokenHangups,
        terminateAt,
        terminations,
        hangupAfterTermination,
        trouble);
  }

  /**
   * Draws the times of a series of signals, ascending. The series starts before latestStart, or at
   * 0 if that is not positive.
   */
  private static List<Integer> drawSignalTimes(SplittableRandom random, int latestStart) {
    int start = latestStart > 0 ? random.nextInt(latestStart) : 0;
    List<Integer> times = new ArrayList<>();
    for (int i = random.nextInt(SIGNAL_COUNT_BOUND); i > 0; i--) {
      times.add(start + random.nextInt(SERIES_MILLIS));
    }
    times.sort(null);
    return times;
  }

  /** The kind of the client with this index, the same for every seed. */
  static ClientKind clientKind(int index) {
    return switch (index % CLIENT_KIND_PERIOD) {
      case 6 -> ClientKind.PIPELINING;
      case 7, 8 -> ClientKind.RESTING;
      case 9 -> ClientKind.STOPPING;
      case 10 -> ClientKind.LEAVING;
      case 11 -> ClientKind.LONG_BODIES;
      default -> ClientKind.BUSY;
    };
  }
}
