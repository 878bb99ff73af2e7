package wheattrack.lab.load;

import java.util.Arrays;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Load;

/**
 * The times at which clients start operations: an open loop, which does not depend on the answers.
 * Times are tenths of a millisecond from the start of the run, rates are by the second.
 */
public final class ArrivalProcess {
  /** The part of the time that is in bursts. */
  private static final double BURST_SHARE = 0.25;

  private final Load load;
  private final RandomStream random;

  /** The highest rate of the scenario, before any rate factor. */
  private final double scenarioPeakRate;

  private double lastArrival;
  private double phaseEnd;
  private boolean inBurst;
  private double rateFactor = 1;

  /** Creates a process that starts at time 0. */
  public ArrivalProcess(Load load, RandomStream random) {
    this.load = load;
    this.random = random;
    scenarioPeakRate = peakRate(load);
  }

  /** Multiplies the scenario's rate by a factor from now on. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** The time of the next arrival; {@link Double#MAX_VALUE} where there are none any more. */
  public double nextArrival() {
    double peakRate = rateFactor * scenarioPeakRate;
    if (peakRate <= 0) {
      lastArrival = Double.MAX_VALUE;
      return lastArrival;
    }
    double meanGap = Scenario.SECOND / peakRate;
    if (load.shape() == Load.Shape.EVEN) {
      lastArrival += meanGap;
      return lastArrival;
    }
    // a Poisson process of the peak rate, thinned out to the rate of the moment
    do {
      lastArrival += random.nextExponential(meanGap);
    } while (random.nextDouble() * peakRate > rateFactor * scenarioRateAt(lastArrival));
    return lastArrival;
  }

  private static double peakRate(Load load) {
    return switch (load.shape()) {
      case WAVE, BURSTY -> load.rate() * (1 + load.swing());
      case TRACE -> Math.max(0, Arrays.stream(load.trace()).max().orElse(0));
      case POISSON, EVEN -> load.rate();
    };
  }

  private double scenarioRateAt(double time) {
    return switch (load.shape()) {
      case WAVE -> load.rate() * (1 + load.swing() * Math.sin(2 * Math.PI * time / load.period()));
      case BURSTY -> load.rate() * burstFactorAt(time);
      case TRACE -> load.trace()[(int) Math.min(load.trace().length - 1, time / Scenario.SECOND)];
      case POISSON, EVEN -> load.rate();
    };
  }

  private double burstFactorAt(double time) {
    return isBurstAt(time) ? 1 + load.swing() : Math.max(0, 1 - load.swing() / 3);
  }

  /** Whether a time, which never goes back, lies in a burst; bursts have random lengths. */
  private boolean isBurstAt(double time) {
    while (time >= phaseEnd) {
      inBurst = !inBurst;
      phaseEnd += random.nextExponential(load.period() * (inBurst ? BURST_SHARE : 1 - BURST_SHARE));
    }
    return inBurst;
  }
}
