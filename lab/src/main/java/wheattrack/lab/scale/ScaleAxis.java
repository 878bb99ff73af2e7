package wheattrack.lab.scale;

import java.io.IOException;
import java.util.Map;

/**
 * One axis along which control is measured.
 *
 * @param unit what its points count, as printed
 * @param points those that a full run has
 * @param min the least point that may be asked for
 * @param max the greatest
 * @param measurement measures one point
 */
record ScaleAxis(
    String name, String unit, int[] points, int min, int max, Measurement measurement) {
  /** Measures one point; its processes are ended before the next point begins. */
  interface Measurement {
    /**
     * Puts the metrics of this point by name; throws what kept it from being measured, a
     * RuntimeException where a process of the measurement has ended.
     */
    void measure(int point, Map<String, Double> metrics) throws IOException, InterruptedException;
  }
}
