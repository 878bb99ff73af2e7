package wheattrack.lab.scale;

import java.util.function.LongSupplier;

/** Measures the processor time of processes over a span of time. Not thread-safe. */
final class CpuMeter {
  private final LongSupplier cpuNanos;
  private long cpuNanosBefore;
  private long startedAtNanos;

  /** Creates a meter that begins now; cpuNanos: processor time so far, in nanoseconds. */
  CpuMeter(LongSupplier cpuNanos) {
    this.cpuNanos = cpuNanos;
    restart();
  }

  /** Begins another span of time. */
  void restart() {
    cpuNanosBefore = cpuNanos.getAsLong();
    startedAtNanos = System.nanoTime();
  }

  /** Processor time over elapsed time since the beginning. */
  double utilization() {
    return used() / elapsed();
  }

  /** Nanoseconds of processor time since the beginning, beyond what is used when idle. */
  double nanosBeyond(double idleUtilization) {
    return used() - idleUtilization * elapsed();
  }

  private double used() {
    return cpuNanos.getAsLong() - cpuNanosBefore;
  }

  private double elapsed() {
    return System.nanoTime() - startedAtNanos;
  }
}
