package wheattrack.lab.scenario;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One fault of a scenario's timeline. Times are tenths of a millisecond from the start of the run.
 *
 * @param at when it begins
 * @param lasts how long it lasts, 0 where it only happens
 * @param what what it hits: so many servers or proxies, chosen by the seed, or the one of that
 *     place
 * @param size how strong it is, in the kind's own measure
 * @param every for what comes again and again: how often
 */
public record Fault(Kind kind, long at, long lasts, Hits what, double size, long every) {
  /** What the timeline can do, and on which clocks it can be played. */
  public enum Kind {
    KILL_PROXY(true, true),
    STOP_PROXY(false, true),
    CLOCK_PROXY(false, true),
    CRASH(true, true),
    VANISH(true, true),
    HANG(true, true),
    SLOW(true, true),
    FAIL(true, true),
    PAUSE(true, true),
    SHRINK(true, true),
    DRAIN(true, true),
    REPLACE(true, false),
    LIST_DOWN(true, true),
    LIST_STALE(true, true),
    LIST_EMPTY(true, true),
    LINK_DELAY(true, true),
    LINK_HOLD(false, true),
    LINK_DROP(true, true),
    LINK_CUT(false, true),
    LINK_RESET(false, true),
    LINK_CORRUPT(false, true),
    BURST(true, true),
    HINT_SHARE(true, true),
    HINT_SCALE(true, true),
    HINT_NOISE(true, true),
    HINT_CONSTANT(true, true),
    HINT_RANDOM(true, true),
    HINT_INVERTED(true, true),
    HINT_ABSURD(true, true),
    HINT_MIXED(true, true);
    public final boolean virtual, real;

    Kind(boolean virtual, boolean real) {
      this.virtual = virtual;
      this.real = real;
    }

    /** As it stands in a scenario. */
    public String word() {
      return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    public boolean hitsProxies() {
      return Set.of(KILL_PROXY, STOP_PROXY, CLOCK_PROXY).contains(this);
    }

    /** Whether it may be of one rule set only. */
    public boolean hitsRuleSets() {
      return name().startsWith("HINT");
    }

    public boolean hitsServers() {
      return Set.of(CRASH, VANISH, HANG, SLOW, FAIL, PAUSE, SHRINK, DRAIN, REPLACE).contains(this)
          || name().startsWith("LINK");
    }
  }

  /**
   * Of the servers or proxies: this one where place is 0 or more, else a share, one at least, of
   * those in the zone, or of all where zone is below 0.
   */
  public record Hits(int place, double share, int zone) {
    /** So many of n. */
    public int count(int n) {
      return place >= 0 ? 1 : Math.min(n, Math.max(1, (int) Math.round(share * n)));
    }
  }

  /** What size means to a kind, its default and its bounds; kinds that are not here have none. */
  static final Map<Kind, List<Double>> SIZES =
      new EnumMap<>(
          Map.of(
              Kind.SLOW,
              List.of(4.0, 0.001, 1000.0),
              Kind.FAIL,
              List.of(0.5, 0.0, 1.0),
              Kind.PAUSE,
              List.of(200.0, 1.0, 60_000.0),
              Kind.BURST,
              List.of(2.0, 0.01, 100.0),
              Kind.LINK_DELAY,
              List.of(50.0, 0.0, 60_000.0),
              Kind.LINK_DROP,
              List.of(0.02, 0.0, 1.0),
              Kind.HINT_SHARE,
              List.of(1.0, 0.0, 1.0),
              Kind.HINT_SCALE,
              List.of(1000.0, 1e-6, 1e9),
              Kind.HINT_NOISE,
              List.of(1.0, 0.0, 10.0),
              Kind.CLOCK_PROXY,
              List.of(200.0, -3_600_000.0, 3_600_000.0)));

  static {
    SIZES.put(Kind.HINT_MIXED, List.of(0.5, 0.0, 1.0));
    SIZES.put(Kind.HINT_CONSTANT, List.of(20.0, 0.001, 1e9));
    SIZES.put(Kind.HINT_ABSURD, List.of(214_748_364.7, 0.0001, 1e9));
  }
}
