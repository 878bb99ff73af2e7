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
 * A process of control-only proxies ({@link ControlOnlyMain}), to which commands are given by the
 * line. Each command throws UncheckedIOException if the process has ended. Not thread-safe.
 */
final class ControlOnlyProcess {
  /**
   * What the process says once its proxies have started.
   *
   * @param startedAtNanos when they started, by the clock of System.nanoTime, which is shared
   * @param heapBytes the heap in use before that
   */
  record Start(long startedAtNanos, double heapBytes) {}

  /** How many proxies have an endpoint list, and the most backends that one of them knows. */
  record Known(int proxiesWithList, double maxBackends) {}

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

  /** Bytes of heap in use after a collection. */
  double heapBytes() {
    return Double.parseDouble(execute(ControlOnlyCommand.HEAP.keyword()).get(0));
  }

  /** Forgets when revisions took effect so far. */
  void forgetRevisions() {
    execute(ControlOnlyCommand.FORGET.keyword());
  }

  /** When each revision took effect at each proxy, in nanoseconds of the shared clock. */
  Map<Long, long[]> revisionTimes() {
    Map<Long, long[]> times = new LinkedHashMap<>();
    for (String line : execute(ControlOnlyCommand.REVISION_TIMES.keyword())) {
      long[] numbers = Arrays.stream(line.split(" ")).mapToLong(Long::parseLong).toArray();
      times.put(numbers[0], Arrays.copyOfRange(numbers, 1, numbers.length));
    }
    return times;
  }

  /** Makes each proxy reload its configuration; returns once all have. */
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
        throw new IOException("a process of hollow proxies has ended");
      }
      lines.add(line);
    }
    return lines;
  }
}
