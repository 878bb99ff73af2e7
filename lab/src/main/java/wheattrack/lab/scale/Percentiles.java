package wheattrack.lab.scale;

import java.util.List;

/** Percentiles of measured values. */
final class Percentiles {
  /** The fraction of values up to the 99th percentile. */
  static final double P99 = 0.99;

  private Percentiles() {}

  /** The value at this fraction, from 0 to 1, of the sorted values; NaN if there are none. */
  static double of(List<Double> sorted, double fraction) {
    return sorted.isEmpty() ? Double.NaN : sorted.get((int) (fraction * (sorted.size() - 1)));
  }
}
