package wheattrack.lab.scenario;

import java.util.Locale;

/**
 * One fault of a scenario's timeline. Times are tenths of a millisecond from the start of the run.
 *
 * @param startsAt when it begins
 * @param duration how long it lasts, 0 for a fault that is a single event
 * @param target what it hits: one proxy, backend or request class, or a share of them that the seed
 *     chooses
 * @param magnitude how strong it is, in a unit that depends on the kind; 0 for a kind without one
 * @param interval the time between two occurrences of a fault that recurs while it lasts; otherwise
 *     0
 */
public record Fault(
    Kind kind, long startsAt, long duration, Target target, double magnitude, long interval) {
  /** What a fault affects. */
  private enum Subject {
    PROXIES,
    BACKENDS,
    LINKS,
    DISCOVERY,
    LOAD,
    HINTS
  }

  /** The clocks on which a fault is supported. */
  private enum Clocks {
    VIRTUAL,
    REAL,
    BOTH
  }

  /**
   * The bounds of a kind's magnitude.
   *
   * @param defaultValue the magnitude if the scenario gives none
   * @param min the least allowed
   * @param max the greatest allowed
   */
  public record MagnitudeRange(double defaultValue, double min, double max) {}

  /** The kinds of faults, each with what it affects and the clocks on which it is supported. */
  public enum Kind {
    KILL_PROXY(Subject.PROXIES, Clocks.BOTH),
    STOP_PROXY(Subject.PROXIES, Clocks.REAL),
    CLOCK_PROXY(Subject.PROXIES, Clocks.REAL, new MagnitudeRange(200.0, -3_600_000.0, 3_600_000.0)),
    CRASH(Subject.BACKENDS, Clocks.BOTH),
    VANISH(Subject.BACKENDS, Clocks.BOTH),
    HANG(Subject.BACKENDS, Clocks.BOTH),
    SLOW(Subject.BACKENDS, Clocks.BOTH, new MagnitudeRange(4.0, 0.001, 1000.0)),
    FAIL(Subject.BACKENDS, Clocks.BOTH, new MagnitudeRange(0.5, 0.0, 1.0)),
    PAUSE(Subject.BACKENDS, Clocks.BOTH, new MagnitudeRange(200.0, 1.0, 60_000.0)),
    SHRINK(Subject.BACKENDS, Clocks.BOTH),
    DRAIN(Subject.BACKENDS, Clocks.BOTH),
    REPLACE(Subject.BACKENDS, Clocks.VIRTUAL),
    LIST_DOWN(Subject.DISCOVERY, Clocks.BOTH),
    LIST_STALE(Subject.DISCOVERY, Clocks.BOTH),
    LIST_EMPTY(Subject.DISCOVERY, Clocks.BOTH),
    LINK_DELAY(Subject.LINKS, Clocks.BOTH, new MagnitudeRange(50.0, 0.0, 60_000.0)),
    LINK_HOLD(Subject.LINKS, Clocks.REAL),
    LINK_DROP(Subject.LINKS, Clocks.BOTH, new MagnitudeRange(0.02, 0.0, 1.0)),
    LINK_CUT(Subject.LINKS, Clocks.REAL),
    LINK_RESET(Subject.LINKS, Clocks.REAL),
    LINK_CORRUPT(Subject.LINKS, Clocks.REAL),
    BURST(Subject.LOAD, Clocks.BOTH, new MagnitudeRange(2.0, 0.01, 100.0)),
    HINT_SHARE(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(1.0, 0.0, 1.0)),
    HINT_SCALE(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(1000.0, 1e-6, 1e9)),
    HINT_NOISE(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(1.0, 0.0, 10.0)),
    HINT_CONSTANT(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(20.0, 0.001, 1e9)),
    HINT_RANDOM(Subject.HINTS, Clocks.BOTH),
    HINT_INVERTED(Subject.HINTS, Clocks.BOTH),
    HINT_ABSURD(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(214_748_364.7, 0.0001, 1e9)),
    HINT_MIXED(Subject.HINTS, Clocks.BOTH, new MagnitudeRange(0.5, 0.0, 1.0));

    private final Subject subject;
    private final Clocks clocks;
    private final MagnitudeRange magnitudeRange;

    Kind(Subject subject, Clocks clocks) {
      this(subject, clocks, null);
    }

    Kind(Subject subject, Clocks clocks, MagnitudeRange magnitudeRange) {
      this.subject = subject;
      this.clocks = clocks;
      this.magnitudeRange = magnitudeRange;
    }

    /** The name of this kind in a scenario file. */
    public String keyword() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whether it is supported on the virtual clock, or else on the real one. */
    public boolean isSupported(boolean onVirtualClock) {
      return clocks == Clocks.BOTH || clocks == (onVirtualClock ? Clocks.VIRTUAL : Clocks.REAL);
    }

    /** Whether its target is one or more proxies. */
    public boolean hitsProxies() {
      return subject == Subject.PROXIES;
    }

    /** Whether it may be limited to one request class. */
    public boolean mayHitOneRequestClass() {
      return subject == Subject.HINTS;
    }

    /** Whether its target is one or more backends, or the links to them. */
    public boolean hitsBackends() {
      return subject == Subject.BACKENDS || subject == Subject.LINKS;
    }

    /** Whether it affects the links between proxies and backends. */
    public boolean hitsLinks() {
      return subject == Subject.LINKS;
    }

    /** The bounds of its magnitude, or null for a kind that has none. */
    MagnitudeRange magnitudeRange() {
      return magnitudeRange;
    }
  }

  /**
   * Which backends or proxies a fault hits.
   *
   * @param index the one that it hits, or the request class for a fault of hints; below 0 if the
   *     seed chooses, or for all request classes
   * @param share the share of the candidates that is hit, at least one of them
   * @param zone the zone of the candidates, or below 0 for all zones
   */
  public record Target(int index, double share, int zone) {
    /** The number of candidates that are hit, of as many as given. */
    public int count(int population) {
      return index >= 0
          ? 1
          : Math.min(population, Math.max(1, (int) Math.round(share * population)));
    }
  }
}
