package wheattrack.lab;

import java.util.Arrays;
import wheattrack.lab.load.RandomStream;

/**
 * How a metric differs between two sides that were played over the same seeds.
 *
 * @param base mean of the base side
 * @param candidate mean of the candidate side
 * @param mean mean of the differences of the pairs
 * @param low lower end of the bootstrap interval that holds 95% of the resampled means
 * @param high upper end of that interval
 */
record PairedDifference(double base, double candidate, double mean, double low, double high) {
  private static final int RESAMPLES = 4000;
  private static final long RESAMPLING_SEED = 7;

  /** The fraction of the resampled means beyond each end of the interval. */
  private static final double TAIL_FRACTION = 0.025;

  /**
   * Compares values pair by pair. Resamples with a fixed seed, so that equal values give equal
   * results.
   */
  static PairedDifference of(double[] base, double[] candidate) {
    int count = base.length;
    double[] differences = new double[count];
    for (int i = 0; i < count; i++) {
      differences[i] = candidate[i] - base[i];
    }
    double[] means = resampledMeans(differences);
    return new PairedDifference(
        mean(base),
        mean(candidate),
        mean(differences),
        means[(int) (RESAMPLES * TAIL_FRACTION)],
        means[(int) (RESAMPLES * (1 - TAIL_FRACTION))]);
  }

  private static double[] resampledMeans(double[] differences) {
    RandomStream random = new RandomStream(RESAMPLING_SEED, "bootstrap");
    double[] means = new double[RESAMPLES];
    for (int resample = 0; resample < RESAMPLES; resample++) {
      double sum = 0;
      for (int i = 0; i < differences.length; i++) {
        sum += differences[random.nextInt(differences.length)];
      }
      means[resample] = sum / differences.length;
    }
    Arrays.sort(means);
    return means;
  }

  private static double mean(double[] values) {
    return Arrays.stream(values).average().orElse(0);
  }

  /** Whether the interval does not contain zero. */
  boolean isClear() {
    return low > 0 || high < 0;
  }
}
