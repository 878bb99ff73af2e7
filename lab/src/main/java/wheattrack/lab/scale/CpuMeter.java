package wheattrack.lab.scale;

import java.util.function.LongSupplier;

/** Measures the processor time of processes over a period. Not thread-safe. */
final class CpuMeter {
  private final LongSupplier cpuNanos;
  private long cpuNanosBefore;
  private long startedAtNanos;

  /**
   * Creates a meter whose period begins now.
   *
   * @param cpuNanos supplies the processor time so far, in nanoseconds
   */
  CpuMeter(LongSupplier cpuNanos) {
    this.cpuNanos = cpuNanos;
    restart();
  }

  /** Begins another period. */
  void restart() {
    cpuNanosBefore = cpuNanos.getAsLong();
    startedAtNanos = System.nanoTime();
  }

  /** Processor time divided by elapsed time, both since the beginning of the period. */
  double utilization() {
    return usedNanos() / elapsedNanos();
  }

  /**
   * Nanoseconds of processor time since the beginning of the period, less what the idle state takes
   * in the same time.
   *
   * @param idleUtilization the {@link #utilization} of the idle state
   */
  double nanosBeyond(double idleUtilization) {
    return usedNanos() - idleUtilization * elapsedNanos();
  }

  private double usedNanos() {
    return cpuNanos.getAsLong() - cpuNanosBefore;
  }

  private double elapsedNanos() {
    return System.nanoTime() - startedAtNanos;
  }
}
