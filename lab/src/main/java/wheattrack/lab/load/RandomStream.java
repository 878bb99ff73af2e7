package wheattrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chance of one part of a run: the same seed and part give the same draws, whatever other parts do.
 */
public final class RandomStream {
  private final UniformRandomProvider source;
  private final ZigguratSampler.NormalizedGaussian normal;
  private final ZigguratSampler.Exponential exponential;

  public RandomStream(long seed, String part) {
    source =
        RandomSource.XO_SHI_RO_256_PP.create(
            new long[] {seed, part.hashCode(), 0x9E3779B97F4A7C15L, seed * 31 + part.length()});
    normal = ZigguratSampler.NormalizedGaussian.of(source);
    exponential = ZigguratSampler.Exponential.of(source);
    for (int i = 0; i < 16; i++) {
      source.nextLong(); // near seeds start alike
    }
  }

  public double uniform() {
    return source.nextDouble();
  }

  /** From 0 to under n. */
  public int below(int n) {
    return source.nextInt(n);
  }

  public boolean happens(double share) {
    return share > 0 && (share >= 1 || source.nextDouble() < share);
  }

  public double exponential(double mean) {
    return mean * exponential.sample();
  }

  /** Lognormal, or with a Pareto tail, of this mean; cv: its deviation over its mean. */
  public double spread(double mean, double cv, boolean heavyTail) {
    if (cv <= 0) {
      return mean;
    }
    if (heavyTail) { // deviation over mean of a Pareto is 1 / sqrt(a (a - 2))
      double a = 1 + Math.sqrt(1 + 1 / (cv * cv));
      return Math.min(50 * mean, mean * (a - 1) / a * Math.pow(1 - source.nextDouble(), -1 / a));
    }
    return mean * factor(Math.sqrt(Math.log(1 + cv * cv)));
  }

  /** Lognormal of mean 1. */
  public double factor(double sigma) {
    return sigma == 0 ? 1 : Math.exp(sigma * normal.sample() - sigma * sigma / 2);
  }

  /** The seed of a further part. */
  public long seed() {
    return source.nextLong();
  }
}
