package wheattrack.lab.load;

import java.util.Arrays;
import java.util.List;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Workload;

/**
 * Draws what clients want, by the shares of a scenario's workloads. Faults may change the hints in
 * the course of a run. Not thread-safe.
 */
public final class RequestGenerator {
  /** What a hint says of the work: roughly the work, a constant, nothing at all, its inverse. */
  public enum HintModel {
    PROPORTIONAL,
    CONSTANT,
    RANDOM,
    INVERTED
  }

  /** The factor between the units of two sorts of clients. */
  private static final double MIXED_UNIT_FACTOR = 1000;

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

  /** Sets the share of requests with a hint, in one request class or, below 0, in all of them. */
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

  /** Sets the factor by which all hints are off. */
  public void setHintScale(double scale) {
    hintScale = scale;
  }

  /** Sets what hints say of the work. */
  public void setHintModel(HintModel model) {
    hintModel = model;
  }

  /** Lets all hints be the same, in tenths of a millisecond. */
  public void useConstantHints(double hint) {
    hintModel = HintModel.CONSTANT;
    constantHint = hint;
  }

  /** Lets this share of the clients send hints a thousand times as large as the others. */
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

  /** Makes the same draws whatever the model, so that runs that differ in hints are comparable. */
  private double drawHint(Workload workload, double work) {
    double meanWork = workload.meanWork();
    double error = random.nextLogNormal(hintNoise);
    double unrelated = meanWork * Math.exp(4 * random.nextDouble() - 2);
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
