package wheattrack.lab.scale;

import java.util.List;

/** Percentiles of measured values. */
final class Percentiles {
  private Percentiles() {}

  /** The value in sorted ones that this part of them, from 0 to 1, lies below; NaN without any. */
  static double of(List<Double> sorted, double part) {
    return sorted.isEmpty() ? Double.NaN : sorted.get((int) (part * (sorted.size() - 1)));
  }
}
