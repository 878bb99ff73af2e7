package wheattrack.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A client of a process of control-only proxies ({@link ControlOnlyMain}). Each command throws
 * UncheckedIOException if the process has ended. Not thread-safe.
 */
final class ControlOnlyProcess {
  /**
   * What the process reports once its proxies have started.
   *
   * @param startedAtNanos when they started, by System.nanoTime, whose clock all processes share
   * @param heapBytes the heap in use before they started
   */
  record Start(long startedAtNanos, double heapBytes) {}

  /**
   * What the proxies have received so far.
   *
   * @param proxiesWithSnapshot how many have a snapshot of the source whose revisions are reported
   * @param maxBackends the length of the longest endpoint list
   */
  record Known(int proxiesWithSnapshot, double maxBackends) {}

  private final Process process;
  private final BufferedReader in;

  ControlOnlyProcess(Process process) {
    this.process = process;
    in = process.inputReader(StandardCharsets.US_ASCII);
  }

  Process process() {
    return process;
  }

  /** Waits for the proxies to start; to be called once, before any command. */
  Start awaitStart() throws IOException {
    String[] fields = readAnswer().get(0).split(" ");
    return new Start(Long.parseLong(fields[1]), Double.parseDouble(fields[2]));
  }

  Known known() {
    String[] fields = execute(ControlOnlyCommand.KNOWN.keyword()).get(0).split(" ");
    return new Known(Integer.parseInt(fields[0]), Double.parseDouble(fields[1]));
  }

  /** Bytes of heap in use after a garbage collection. */
  double heapBytes() {
    return Double.parseDouble(execute(ControlOnlyCommand.HEAP.keyword()).get(0));
  }

  /** Discards the recorded times at which revisions took effect. */
  void forgetRevisions() {
    execute(ControlOnlyCommand.FORGET.keyword());
  }

  /** By revision: the times at which it took effect at the proxies, by System.nanoTime. */
  Map<Long, long[]> revisionTimes() {
    Map<Long, long[]> times = new LinkedHashMap<>();
    for (String line : execute(ControlOnlyCommand.REVISION_TIMES.keyword())) {
      long[] numbers = Arrays.stream(line.split(" ")).mapToLong(Long::parseLong).toArray();
      times.put(numbers[0], Arrays.copyOfRange(numbers, 1, numbers.length));
    }
    return times;
  }

  /** Makes each proxy reload its configuration from this file; returns once all have. */
  void reload(Path config) {
    execute(ControlOnlyCommand.RELOAD.keyword() + " " + config);
  }

  private List<String> execute(String command) {
    try {
      process.outputWriter(StandardCharsets.US_ASCII).append(command).append('\n').flush();
      return readAnswer();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private List<String> readAnswer() throws IOException {
    List<String> lines = new ArrayList<>();
    for (String line = in.readLine(); !ControlOnlyCommand.END.equals(line); line = in.readLine()) {
      if (line == null) {
        throw new IOException(
            "process " + process.pid() + " of control-only proxies ended before its answer");
      }
      lines.add(line);
    }
    return lines;
  }
}
