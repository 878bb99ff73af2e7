package wheattrack.lab.scale;

import java.io.IOException;
import java.util.Map;

/**
 * One axis along which the cost of the control plane is measured.
 *
 * @param name what it is chosen by and printed under
 * @param unit what the points count, as printed
 * @param points the points of a full run
 * @param min the smallest point that may be requested
 * @param max the largest point that may be requested
 * @param measurement measures one point
 */
record ScaleAxis(
    String name, String unit, int[] points, int min, int max, Measurement measurement) {
  /** Measures one point; its processes are ended before the next point begins. */
  interface Measurement {
    /**
     * Puts the metrics of this point by name.
     *
     * @throws IOException if the point could not be measured
     * @throws RuntimeException if the point could not be measured, for one because a process of the
     *     measurement has ended
     */
    void measure(int point, Map<String, Double> metrics) throws IOException, InterruptedException;
  }
}
