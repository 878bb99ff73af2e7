package wheattrack.lab.scale;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import wheattrack.config.InvalidConfigurationException;

/**
 * The processes of a run: started, watched for their memory, and ended by id however the run ends.
 */
public final class ProcessGroup implements AutoCloseable {
  static final int MOST = 200;
  private static final long GIB = 1L << 30, MOST_MEMORY = 12 * GIB, LOOK_MILLIS = 200;

  /** The run has gone over its bound of memory, and was ended. */
  public static final class OverBound extends RuntimeException {
    private static final long serialVersionUID = 1;

    OverBound(String what) {
      super(what);
    }
  }

  /** One process of hollow proxies, ordered by the line. */
  static final class Hollows {
    final Process process;
    private final BufferedReader in;

    Hollows(Process process) {
      this.process = process;
      in = process.inputReader(StandardCharsets.US_ASCII);
    }

    /** The lines that answer an order. */
    List<String> ask(String order) {
      try {
        process.outputWriter(StandardCharsets.US_ASCII).append(order).append('\n').flush();
        return answer();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    List<String> answer() throws IOException {
      List<String> out = new ArrayList<>();
      for (String line = in.readLine(); !"end".equals(line); line = in.readLine()) {
        if (line == null) {
          throw new IOException("a process of hollow proxies has ended");
        }
        out.add(line);
      }
      return out;
    }
  }

  private final List<Process> all = Collections.synchronizedList(new ArrayList<>());
  private final long bound;
  private final Thread guard = new Thread(this::watch, "memory");
  private volatile boolean over, broken;
  private volatile long peak;

  /** bound: bytes that all of them may hold; at most 12 GiB and half of the machine's. */
  ProcessGroup(long bound) {
    this.bound = bound;
    guard.setDaemon(true);
    guard.start();
  }

  /** What this machine allows: half of its memory, or one line that says why it is too little. */
  static long allowed() {
    try (Stream<String> lines = Files.lines(Path.of("/proc/meminfo"))) {
      List<String> info = lines.toList();
      long half = Math.min(MOST_MEMORY, kib(info, "MemTotal:") * 512);
      long free = kib(info, "MemAvailable:") * 1024;
      if (free < GIB) {
        throw new InvalidConfigurationException(
            "memory", free / 1_048_576 + " MiB are free, under 1024");
      }
      return Math.min(half, free);
    } catch (IOException e) {
      throw new InvalidConfigurationException("/proc/meminfo", "unreadable: " + e.getMessage());
    }
  }

  private static long kib(List<String> info, String key) {
    return info.stream()
        .filter(line -> line.startsWith(key))
        .map(line -> line.replaceAll("\\D", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }

  private Process start(ProcessBuilder how) {
    check();
    all.removeIf(p -> !p.isAlive());
    if (all.size() >= MOST) {
      throw new OverBound(MOST + " processes run already");
    }
    try {
      Process one = how.redirectError(new File("/dev/null")).start();
      all.add(one);
      return one;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Hollows hollows(int count, int first, Path config, InetSocketAddress settings) {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder how =
        new ProcessBuilder(
            java,
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
    if (settings != null) {
      how.command().add(settings.getHostString() + ":" + settings.getPort());
    }
    return new Hollows(start(how));
  }

  /** A real proxy by the operators' own line; cpus: where it may run, or null. */
  Process real(Path home, String run, Path config, Path folder, String cpus) {
    String line = cpus == null ? run : run.replaceFirst("^exec ", "exec taskset -c " + cpus + " ");
    ProcessBuilder how =
        new ProcessBuilder("/bin/sh", "-c", line)
            .directory(home.toFile())
            .redirectOutput(folder.resolve(config.getFileName() + ".log").toFile());
    how.environment().put("GW_CONFIG", config.toString());
    how.environment().put("TMPDIR", folder.toString());
    how.environment().remove("GW_ADMIN");
    return start(how);
  }

  /** Nanoseconds of processor time of its threads, those aside that compile, which come and go. */
  static long cpu(Process one) {
    File[] threads = new File("/proc/" + one.pid() + "/task").listFiles();
    long sum = 0;
    for (File thread : threads == null ? new File[0] : threads) {
      try {
        String name = Files.readString(thread.toPath().resolve("comm"));
        String times = Files.readString(thread.toPath().resolve("schedstat"));
        sum += name.matches("(?s)C[12] Comp.*") ? 0 : Long.parseLong(times.split(" ")[0]);
      } catch (IOException e) {
        continue; // it has just ended
      }
    }
    return sum;
  }

  /** Kilobytes under this key of its status: VmRSS now, VmHWM at most so far. */
  static long memory(Process one, String key) {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + one.pid() + "/status"))) {
      return kib(lines.toList(), key + ":");
    } catch (IOException | UncheckedIOException e) {
      return 0;
    }
  }

  private void watch() {
    while (!over) {
      long sum = 0;
      for (Process one : List.copyOf(all)) {
        sum += one.isAlive() ? memory(one, "VmRSS") * 1024 : 0;
      }
      peak = Math.max(peak, sum);
      if (sum > bound) {
        broken = true;
        List.copyOf(all).forEach(Process::destroyForcibly);
      }
      try {
        Thread.sleep(LOOK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Throws if the bound of memory was passed. */
  void check() {
    if (broken) {
      throw new OverBound("memory over " + bound / 1_048_576 + " MiB: all processes were ended");
    }
  }

  /** Bytes that all together held at most, as seen now and then. */
  long peak() {
    return peak;
  }

  void end(Process one) {
    one.destroyForcibly();
    try {
      one.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    all.remove(one);
  }

  @Override
  public void close() {
    over = true;
    guard.interrupt();
    List.copyOf(all).forEach(this::end);
  }
}
