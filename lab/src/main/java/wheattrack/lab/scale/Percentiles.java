package wheattrack.lab.scale;

import java.util.List;

/** Percentiles of measured values. */
final class Percentiles {
  private Percentiles() {}

  /** The percentile of sorted values at this part, from 0 to 1; NaN of none. */
  static double of(List<Double> sorted, double part) {
    return sorted.isEmpty() ? Double.NaN : sorted.get((int) (part * (sorted.size() - 1)));
  }
}
