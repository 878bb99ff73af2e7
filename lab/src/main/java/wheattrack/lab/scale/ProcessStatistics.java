package wheattrack.lab.scale;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import wheattrack.config.InvalidConfigurationException;

/** Reads this machine's memory, and the memory and processor time of a process, from /proc. */
final class ProcessStatistics {
  private static final long MAX_MEMORY_BYTES = 12 * ByteUnits.GIB;
  private static final long MIN_FREE_BYTES = ByteUnits.GIB;

  private ProcessStatistics() {}

  /**
   * Bytes that all processes of a run may hold on this machine: half of its memory, 12 GiB at most,
   * and no more than is available.
   *
   * @throws InvalidConfigurationException if less than 1 GiB is available
   */
  static long allowedMemoryBytes() {
    try (Stream<String> lines = Files.lines(Path.of("/proc/meminfo"))) {
      List<String> info = lines.toList();
      long half = Math.min(MAX_MEMORY_BYTES, kib(info, "MemTotal:") * ByteUnits.KIB / 2);
      long free = kib(info, "MemAvailable:") * ByteUnits.KIB;
      if (free < MIN_FREE_BYTES) {
        throw new InvalidConfigurationException(
            "memory",
            "expected at least "
                + MIN_FREE_BYTES / ByteUnits.MIB
                + " MiB available, got "
                + free / ByteUnits.MIB);
      }
      return Math.min(half, free);
    } catch (IOException e) {
      throw new InvalidConfigurationException("/proc/meminfo", "unreadable: " + e.getMessage());
    }
  }

  /**
   * Nanoseconds of processor time of all threads of a process that run now, except those of the JIT
   * compiler: the JVM starts and ends them as needed, and the time of an ended thread is missing
   * from /proc.
   */
  static long cpuNanos(Process process) {
    File[] threads = new File("/proc/" + process.pid() + "/task").listFiles();
    long sum = 0;
    for (File thread : threads == null ? new File[0] : threads) {
      try {
        String name = Files.readString(thread.toPath().resolve("comm"));
        String times = Files.readString(thread.toPath().resolve("schedstat"));
        sum += name.matches("(?s)C[12] Comp.*") ? 0 : Long.parseLong(times.split(" ")[0]);
      } catch (IOException e) {
        // the thread has ended since the directory was listed
      }
    }
    return sum;
  }

  /** KiB of memory that a process holds now; 0 once it has ended. */
  static long residentKib(Process process) {
    return statusKib(process, "VmRSS:");
  }

  /** The most KiB of memory that a process has held so far; 0 once it has ended. */
  static long peakResidentKib(Process process) {
    return statusKib(process, "VmHWM:");
  }

  private static long statusKib(Process process, String key) {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
      return kib(lines.toList(), key);
    } catch (IOException | UncheckedIOException e) {
      return 0; // the process has ended
    }
  }

  private static long kib(List<String> lines, String key) {
    return lines.stream()
        .filter(line -> line.startsWith(key))
        .map(line -> line.replaceAll("\\D", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
