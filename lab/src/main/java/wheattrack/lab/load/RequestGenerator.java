package wheattrack.lab.load;

import java.util.Arrays;
import java.util.List;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Workload;

/**
 * Draws requests by the shares of a scenario's workloads. Faults may change the cost hints during a
 * run. Not thread-safe.
 */
public final class RequestGenerator {
  /**
   * How a hint depends on the work: PROPORTIONAL is the work with an error, CONSTANT is the same
   * for all requests, RANDOM is independent of the work, INVERTED is greater for less work.
   */
  public enum HintModel {
    PROPORTIONAL,
    CONSTANT,
    RANDOM,
    INVERTED
  }

  /** The factor between the hint units of two kinds of clients. */
  private static final double MIXED_UNIT_FACTOR = 1000;

  /** Bound of the logarithm of a random hint over the mean work, in both directions. */
  private static final int MAX_RANDOM_HINT_LOG = 2;

  private final List<Workload> workloads;
  private final RandomStream random;
  private final double totalShare;
  private final double[] hintShares;
  private HintModel hintModel = HintModel.PROPORTIONAL;
  private double hintNoise;
  private double hintScale;
  private double constantHint;
  private double nextHint;
  private double mixedUnitShare;

  /** Creates a generator of a scenario's workloads. */
  public RequestGenerator(Scenario scenario, RandomStream random) {
    this.random = random;
    workloads = scenario.workloads();
    totalShare = workloads.stream().mapToDouble(Workload::share).sum();
    hintShares = new double[workloads.size()];
    Arrays.fill(hintShares, scenario.hints().share());
    hintNoise = scenario.hints().noise();
    hintScale = scenario.hints().scale();
  }

  /**
   * Sets the share of requests with a hint.
   *
   * @param requestClass the index of the one request class to set, or below 0 for all of them
   */
  public void setHintShare(int requestClass, double share) {
    if (requestClass < 0) {
      Arrays.fill(hintShares, share);
    } else {
      hintShares[requestClass] = share;
    }
  }

  /** Sets the standard deviation of the logarithm of a hint's error. */
  public void setHintNoise(double noise) {
    hintNoise = noise;
  }

  /** Sets the factor by which all hints are multiplied. */
  public void setHintScale(double scale) {
    hintScale = scale;
  }

  /** Sets how hints depend on the work. */
  public void setHintModel(HintModel model) {
    hintModel = model;
  }

  /** Sets one hint for all requests, in tenths of a millisecond. */
  public void useConstantHints(double hint) {
    hintModel = HintModel.CONSTANT;
    constantHint = hint;
  }

  /** Sets the share of requests whose hints are {@link #MIXED_UNIT_FACTOR} times as large. */
  public void setMixedUnitShare(double share) {
    mixedUnitShare = share;
  }

  /** Sets the hint of the next request only, in tenths of a millisecond. */
  public void setNextHint(double hint) {
    nextHint = hint;
  }

  /** Draws the next request. */
  public RequestPlan next() {
    Workload workload = drawWorkload();
    double skewed =
        random.nextSkewed(
            workload.meanWork(), workload.coefficientOfVariation(), workload.heavyTail());
    double work = Math.max(1, skewed);
    double hint = drawHint(workload, work);
    return new RequestPlan(workload, work, hint, workload.requestClass().priorityWeight() * work);
  }

  private Workload drawWorkload() {
    double remaining = random.nextDouble() * totalShare;
    for (Workload workload : workloads) {
      remaining -= workload.share();
      if (remaining < 0) {
        return workload;
      }
    }
    return workloads.get(workloads.size() - 1);
  }

  /**
   * Makes the same draws for every hint model, so that runs with different models are comparable.
   */
  private double drawHint(Workload workload, double work) {
    double meanWork = workload.meanWork();
    double error = random.nextLogNormal(hintNoise);
    double unrelated =
        meanWork * Math.exp(2 * MAX_RANDOM_HINT_LOG * random.nextDouble() - MAX_RANDOM_HINT_LOG);
    double modelled =
        switch (hintModel) {
          case PROPORTIONAL -> work * error;
          case CONSTANT -> constantHint;
          case RANDOM -> unrelated;
          case INVERTED -> meanWork * meanWork / work * error;
        };
    boolean hasHint = random.nextBoolean(hintShares[workload.requestClass().index()]);
    double hint = hasHint ? Math.max(1, modelled * hintScale) : 0;
    if (random.nextBoolean(mixedUnitShare)) {
      hint *= MIXED_UNIT_FACTOR;
    }
    if (nextHint > 0) {
      hint = nextHint;
      nextHint = 0;
    }
    return hint;
  }
}
