package wheattrack.lab.referee;

/**
 * Quantiles of the work of the attempts that arrived at one backend, in milliseconds at speed 1.
 *
 * @param p10 the 10th percentile
 * @param median the 50th percentile
 * @param p90 the 90th percentile
 */
public record WorkQuantiles(double p10, double median, double p90) {}
