package wheattrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The random draws of one part of a run. The same seed and name give the same draws, independently
 * of the draws of other parts. Not thread-safe.
 */
public final class RandomStream {
  /** Draws that are discarded first, as streams of similar seeds begin with similar values. */
  private static final int WARM_UP_DRAWS = 16;

  /** A constant part of the generator's state: 2^64 over the golden ratio. */
  private static final long SEED_CONSTANT = 0x9E3779B97F4A7C15L;

  /** Multiplies the seed in one part of the generator's state. */
  private static final int SEED_MULTIPLIER = 31;

  /** The greatest value of a Pareto tail, as a multiple of its mean. */
  private static final double MAX_TAIL_FACTOR = 50;

  private final UniformRandomProvider generator;
  private final ZigguratSampler.NormalizedGaussian gaussian;
  private final ZigguratSampler.Exponential exponential;

  /**
   * Creates a stream.
   *
   * @param seed the seed of the run
   * @param name the name of the part of the run that makes the draws
   */
  public RandomStream(long seed, String name) {
    generator =
        RandomSource.XO_SHI_RO_256_PP.create(
            new long[] {
              seed, name.hashCode(), SEED_CONSTANT, seed * SEED_MULTIPLIER + name.length()
            });
    gaussian = ZigguratSampler.NormalizedGaussian.of(generator);
    exponential = ZigguratSampler.Exponential.of(generator);
    for (int i = 0; i < WARM_UP_DRAWS; i++) {
      generator.nextLong();
    }
  }

  /** A uniform draw from 0 inclusive to 1 exclusive. */
  public double nextDouble() {
    return generator.nextDouble();
  }

  /** A factor for the jitter of delays: uniform from 0.5 inclusive to 1.5 exclusive. */
  public double nextJitterFactor() {
    return 0.5 + generator.nextDouble();
  }

  /** A uniform draw from 0 inclusive to the bound exclusive. */
  public int nextInt(int bound) {
    return generator.nextInt(bound);
  }

  /** True with this probability; makes no draw where it is 0 or less, or 1 or more. */
  public boolean nextBoolean(double probability) {
    return probability > 0 && (probability >= 1 || generator.nextDouble() < probability);
  }

  /** An exponential draw with this mean. */
  public double nextExponential(double mean) {
    return mean * exponential.sample();
  }

  /**
   * A draw with this mean from a lognormal or a Pareto distribution.
   *
   * @param coefficientOfVariation the standard deviation over the mean; with 0 or less the mean is
   *     returned without a draw
   * @param heavyTail whether the distribution is Pareto, cut off at {@value #MAX_TAIL_FACTOR} times
   *     the mean
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

  /** A lognormal draw with mean 1; sigma is the standard deviation of its logarithm. */
  public double nextLogNormal(double sigma) {
    return sigma == 0 ? 1 : Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }

  /** Draws a seed for another generator. */
  public long nextSeed() {
    return generator.nextLong();
  }
}
