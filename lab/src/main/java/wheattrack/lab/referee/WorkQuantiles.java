package wheattrack.lab.referee;

/**
 * Work of the attempts that one backend got, in milliseconds at speed 1: a tenth of them lies below
 * low, half below median, nine tenths below high.
 */
public record WorkQuantiles(double low, double median, double high) {}
