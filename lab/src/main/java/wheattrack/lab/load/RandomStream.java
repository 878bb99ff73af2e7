package wheattrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The random draws of one part of a run: the same seed and name give the same draws, however many
 * other parts make. Not thread-safe.
 */
public final class RandomStream {
  /** Draws that are discarded, as streams of similar seeds start alike. */
  private static final int WARM_UP_DRAWS = 16;

  /** A constant part of each seed: 2^64 over the golden ratio. */
  private static final long SEED_CONSTANT = 0x9E3779B97F4A7C15L;

  /** The greatest value of a Pareto tail, as a multiple of its mean. */
  private static final double MAX_TAIL_FACTOR = 50;

  private final UniformRandomProvider generator;
  private final ZigguratSampler.NormalizedGaussian gaussian;
  private final ZigguratSampler.Exponential exponential;

  /** Creates the stream of the part of this name. */
  public RandomStream(long seed, String name) {
    generator =
        RandomSource.XO_SHI_RO_256_PP.create(
            new long[] {seed, name.hashCode(), SEED_CONSTANT, seed * 31 + name.length()});
    gaussian = ZigguratSampler.NormalizedGaussian.of(generator);
    exponential = ZigguratSampler.Exponential.of(generator);
    for (int i = 0; i < WARM_UP_DRAWS; i++) {
      generator.nextLong();
    }
  }

  /** Uniform from 0 to under 1. */
  public double nextDouble() {
    return generator.nextDouble();
  }

  /** A factor to spread delays by: uniform from 0.5 to under 1.5. */
  public double nextJitterFactor() {
    return 0.5 + generator.nextDouble();
  }

  /** Uniform from 0 to under the bound. */
  public int nextInt(int bound) {
    return generator.nextInt(bound);
  }

  /** True with this probability; makes no draw where it is 0 or less, or 1 or more. */
  public boolean nextBoolean(double probability) {
    return probability > 0 && (probability >= 1 || generator.nextDouble() < probability);
  }

  /** Exponential of this mean. */
  public double nextExponential(double mean) {
    return mean * exponential.sample();
  }

  /**
   * Lognormal, or with a Pareto tail, of this mean.
   *
   * @param coefficientOfVariation the standard deviation over the mean
   */
  public double nextSkewed(double mean, double coefficientOfVariation, boolean heavyTail) {
    if (coefficientOfVariation <= 0) {
      return mean;
    }
    if (heavyTail) {
      // the coefficient of variation of a Pareto distribution is 1 / sqrt(shape (shape - 2))
      double shape = 1 + Math.sqrt(1 + 1 / (coefficientOfVariation * coefficientOfVariation));
      return Math.min(
          MAX_TAIL_FACTOR * mean,
          mean * (shape - 1) / shape * Math.pow(1 - generator.nextDouble(), -1 / shape));
    }
    return mean
        * nextLogNormal(Math.sqrt(Math.log(1 + coefficientOfVariation * coefficientOfVariation)));
  }

  /** Lognormal of mean 1; sigma is the standard deviation of its logarithm. */
  public double nextLogNormal(double sigma) {
    return sigma == 0 ? 1 : Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }

  /** A seed for something else. */
  public long nextSeed() {
    return generator.nextLong();
  }
}
