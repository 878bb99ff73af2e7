package wheattrack.lab.scale;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import wheattrack.lab.process.Processes;

/**
 * The processes of a run. A thread of the group checks the memory that they hold together. Closing
 * the group ends all processes that still run, each by its id. Processes are started and ended by
 * one thread.
 */
final class ProcessGroup implements AutoCloseable {
  private static final int MAX_PROCESSES = 200;
  private static final long WATCH_INTERVAL_MILLIS = 200;

  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private final long maxMemoryBytes;
  private final Thread watcher = new Thread(this::watchMemory, "memory");
  private volatile boolean isClosed;
  private volatile boolean isLimitExceeded;
  private volatile long peakMemoryBytes;

  /**
   * Creates a group without processes and starts to check its memory.
   *
   * @param maxMemoryBytes what all processes may hold together; above it all are killed
   */
  ProcessGroup(long maxMemoryBytes) {
    this.maxMemoryBytes = maxMemoryBytes;
    watcher.setDaemon(true);
    watcher.start();
  }

  private Process start(ProcessBuilder builder) {
    checkLimit();
    processes.removeIf(process -> !process.isAlive());
    if (processes.size() >= MAX_PROCESSES) {
      throw new ResourceLimitException(
          "expected fewer than " + MAX_PROCESSES + " running processes, got " + processes.size());
    }
    try {
      Process process = builder.redirectError(new File("/dev/null")).start();
      processes.add(process);
      return process;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Starts a process of control-only proxies.
   *
   * @param count how many proxies it holds
   * @param first the number of the first of them
   * @param config the configuration file of all of them
   * @param settingsSource the source of settings that they watch, or null
   */
  ControlOnlyProcess startControlOnly(
      int count, int first, Path config, InetSocketAddress settingsSource) {
    ProcessBuilder builder =
        new ProcessBuilder(
            Processes.javaCommand(),
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx1500m",
            "-Xss512k",
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            ControlOnlyMain.class.getName(),
            Integer.toString(count),
            Integer.toString(first),
            config.toString());
    if (settingsSource != null) {
      builder.command().add(settingsSource.getHostString() + ":" + settingsSource.getPort());
    }
    return new ControlOnlyProcess(start(builder));
  }

  /**
   * Starts a complete proxy by the command line that operators use.
   *
   * @param home the root of the source tree, where the command line is run
   * @param directory for its log and temporary files
   * @param cpus the processors that it may use, in the form of taskset's option -c; null for all
   */
  Process startProxy(Path home, String commandLine, Path config, Path directory, String cpus) {
    String pinnedCommandLine =
        cpus == null
            ? commandLine
            : commandLine.replaceFirst("^exec ", "exec taskset -c " + cpus + " ");
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", pinnedCommandLine)
            .directory(home.toFile())
            .redirectOutput(directory.resolve(config.getFileName() + ".log").toFile());
    builder.environment().put("GW_CONFIG", config.toString());
    builder.environment().put("TMPDIR", directory.toString());
    builder.environment().remove("GW_ADMIN");
    return start(builder);
  }

  private void watchMemory() {
    while (!isClosed) {
      long sum = 0;
      for (Process process : List.copyOf(processes)) {
        sum += process.isAlive() ? ProcessStatistics.residentKib(process) * ByteUnits.KIB : 0;
      }
      peakMemoryBytes = Math.max(peakMemoryBytes, sum);
      if (sum > maxMemoryBytes) {
        isLimitExceeded = true;
        List.copyOf(processes).forEach(Process::destroyForcibly);
      }
      try {
        Thread.sleep(WATCH_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return; // the group is closed
      }
    }
  }

  /** Throws ResourceLimitException if the processes have held more memory than they may. */
  void checkLimit() {
    if (isLimitExceeded) {
      throw new ResourceLimitException(
          "the processes held more than the allowed "
              + maxMemoryBytes / ByteUnits.MIB
              + " MiB of memory together: all were killed");
    }
  }

  /** The most bytes that all processes have held together at any one check. */
  long peakMemoryBytes() {
    return peakMemoryBytes;
  }

  /** Kills a process and waits until it has ended, 5 s at most. */
  void end(Process process) {
    Processes.killAndWait(process);
    processes.remove(process);
  }

  @Override
  public void close() {
    isClosed = true;
    watcher.interrupt();
    List.copyOf(processes).forEach(this::end);
  }
}
