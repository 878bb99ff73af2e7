package wheattrack.lab.load;

import java.util.Arrays;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Load;

/**
 * The times at which clients start operations: an open loop, in which arrivals do not depend on
 * answers. Times are tenths of a millisecond from the start of the run, rates are per second.
 */
public final class ArrivalProcess {
  /** The share of the time that is in bursts. */
  private static final double BURST_SHARE = 0.25;

  /** The mean time between bursts over the mean length of a burst, by {@link #BURST_SHARE}. */
  private static final int QUIET_TIME_PER_BURST_TIME = 3;

  private final Load load;
  private final RandomStream random;

  /** The highest rate of the scenario, before any rate factor. */
  private final double scenarioPeakRate;

  private double lastArrival;
  private double phaseEnd;
  private boolean isInBurst;
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

  /** The time of the next arrival, or {@link Double#MAX_VALUE} if the rate is 0. */
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
    // thinning: a Poisson process of the peak rate, of which a share of arrivals is accepted
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
    return isBurstAt(time)
        ? 1 + load.swing()
        : Math.max(0, 1 - load.swing() / QUIET_TIME_PER_BURST_TIME);
  }

  /**
   * Whether a time lies in a burst. Bursts and the times between them have random lengths.
   *
   * @param time not less than in earlier calls
   */
  private boolean isBurstAt(double time) {
    while (time >= phaseEnd) {
      isInBurst = !isInBurst;
      phaseEnd +=
          random.nextExponential(load.period() * (isInBurst ? BURST_SHARE : 1 - BURST_SHARE));
    }
    return isInBurst;
  }
}
