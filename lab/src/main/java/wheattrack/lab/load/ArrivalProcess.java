package wheattrack.lab.load;

import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Load;

/**
 * When clients want something: an open loop, so that the times do not depend on what is answered.
 * Times are tenths of a millisecond from the start of the run.
 */
public final class ArrivalProcess {
  private final Load load;
  private final RandomStream draws;
  private double at;
  private double burstUntil;
  private boolean burst;
  private double factor = 1;

  public ArrivalProcess(Load load, RandomStream draws) {
    this.load = load;
    this.draws = draws;
  }

  /** From now on so many times the scenario's rate come. */
  public void times(double by) {
    factor = by;
  }

  /** The next one's time, or a time past all ends where none comes any more. */
  public double next() {
    double peak = peak();
    if (peak <= 0) {
      return at = Double.MAX_VALUE;
    }
    do { // thinned from the highest rate there is
      at +=
          load.shape() == Load.Shape.EVEN
              ? Scenario.SECOND / peak
              : draws.exponential(Scenario.SECOND / peak);
    } while (load.shape() != Load.Shape.EVEN && draws.uniform() * peak > rate(at));
    return at;
  }

  private double peak() {
    return factor
        * switch (load.shape()) {
          case WAVE -> load.rate() * (1 + load.swing());
          case BURSTY -> load.rate() * (1 + load.swing());
          case TRACE -> {
            double most = 0;
            for (double r : load.trace()) {
              most = Math.max(most, r);
            }
            yield most;
          }
          default -> load.rate();
        };
  }

  /** Reqs a second at a moment. */
  private double rate(double time) {
    return factor
        * switch (load.shape()) {
          case WAVE ->
              load.rate() * (1 + load.swing() * Math.sin(2 * Math.PI * time / load.period()));
          case BURSTY ->
              load.rate() * (inBurst(time) ? 1 + load.swing() : Math.max(0, 1 - load.swing() / 3));
          case TRACE ->
              load.trace()[(int) Math.min(load.trace().length - 1, time / Scenario.SECOND)];
          default -> load.rate();
        };
  }

  /** A quarter of the time, in stretches whose mean is a quarter of the period. */
  private boolean inBurst(double time) {
    while (time >= burstUntil) {
      burst = !burst;
      burstUntil += draws.exponential(load.period() * (burst ? 0.25 : 0.75));
    }
    return burst;
  }
}
