package wheattrack.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheattrack.aio.EventLoop;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;
import wheattrack.config.SocketAddressParser;
import wheattrack.net.ControlOnlyProxy;

/**
 * A process of control-only proxies on one event loop. It reads commands ({@link
 * ControlOnlyCommand}) from standard input, one per line, answers each by lines of which the last
 * is {@code end}, and exits at the end of its input. {@link ControlOnlyProcess} is its client.
 */
public final class ControlOnlyMain {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  /** Difference between the seeds of successive proxies. */
  private static final long SEED_STEP = 31L;

  /** The scope of settings that the proxies watch. */
  private static final String SETTINGS_SCOPE = "mean";

  private final EventLoop loop = new EventLoop();
  private final List<ControlOnlyProxy> proxies = new ArrayList<>();

  /** By revision: the times at which it took effect at the proxies, by System.nanoTime. */
  private final Map<Long, List<Long>> activationTimes = new TreeMap<>();

  /** The latest revision at each proxy, by its index; 0 before the first. */
  private final long[] latestRevisions;

  private ControlOnlyMain(int count) {
    latestRevisions = new long[count];
  }

  /**
   * Runs COUNT proxies with the configuration file CONFIG, numbered from FIRST on. With SOURCE, the
   * address of a source of settings, the proxies watch it and its revisions are reported; without
   * it, those of the endpoint list are.
   *
   * @param args COUNT FIRST CONFIG [SOURCE]
   */
  public static void main(String[] args) throws Exception {
    LOG.setLevel(Level.SEVERE);
    ControlOnlyMain main = new ControlOnlyMain(Integer.parseInt(args[0]));
    int first = Integer.parseInt(args[1]);
    InetSocketAddress source =
        args.length > 3 ? SocketAddressParser.parse("SOURCE", args[3]) : null;
    main.run(first, Path.of(args[2]), source);
  }

  private void run(int first, Path file, InetSocketAddress source) throws Exception {
    AsynchronousChannelGroup group = loop.channelGroup();
    Thread thread = new Thread(loop::run, "loop");
    thread.setDaemon(true);
    thread.start();
    ProxyConfig config = ProxyConfig.read(file);
    long initialHeapBytes = heapBytes();
    long startedAt = System.nanoTime();
    executeOnLoop(
        () -> {
          for (int i = 0; i < latestRevisions.length; i++) {
            start(i, group, config, config.seed() + SEED_STEP * (first + i), source);
          }
        });
    System.out.println(ControlOnlyCommand.STARTED + " " + startedAt + " " + initialHeapBytes);
    System.out.println(ControlOnlyCommand.END);
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      answer(line);
      System.out.println(ControlOnlyCommand.END);
    }
  }

  private void start(
      int index,
      AsynchronousChannelGroup group,
      ProxyConfig config,
      long seed,
      InetSocketAddress source) {
    LongConsumer listener = revision -> noteRevision(index, revision);
    LongConsumer listListener = source == null ? listener : revision -> {};
    ControlOnlyProxy proxy = new ControlOnlyProxy(loop, group, config, seed, listListener);
    proxies.add(proxy);
    if (source != null) {
      proxy.watchSettings(source, SETTINGS_SCOPE, seed, listener);
    }
  }

  private void answer(String line) throws InterruptedException {
    String[] arguments = line.split(" ");
    ControlOnlyCommand command = ControlOnlyCommand.of(arguments[0]);
    if (command == null) {
      System.out.println("unknown command: " + line);
      return;
    }
    switch (command) {
      case KNOWN -> executeOnLoop(this::printKnown);
      case HEAP -> System.out.println(heapBytes());
      case FORGET -> executeOnLoop(activationTimes::clear);
      case REVISION_TIMES -> executeOnLoop(this::printActivationTimes);
      case RELOAD -> reload(Path.of(arguments[1]));
      default -> throw new IllegalStateException("unknown command " + command);
    }
  }

  private void printKnown() {
    long proxiesWithSnapshot =
        Arrays.stream(latestRevisions).filter(revision -> revision > 0).count();
    int maxBackends =
        proxies.stream().mapToInt(ControlOnlyProxy::listedBackendCount).max().orElse(0);
    System.out.println(proxiesWithSnapshot + " " + maxBackends);
  }

  private void noteRevision(int index, long revision) {
    latestRevisions[index] = revision;
    activationTimes.computeIfAbsent(revision, r -> new ArrayList<>()).add(System.nanoTime());
  }

  private void printActivationTimes() {
    StringBuilder lines = new StringBuilder();
    activationTimes.forEach(
        (revision, times) -> {
          lines.append(revision);
          times.forEach(time -> lines.append(' ').append(time));
          lines.append('\n');
        });
    System.out.print(lines);
  }

  /** Each proxy reads and checks the file by itself, as each of as many processes would. */
  private void reload(Path file) throws InterruptedException {
    executeOnLoop(
        () -> {
          for (ControlOnlyProxy proxy : proxies) {
            try {
              proxy.reconfigure(new ProxyConfig(Json.object(Files.readString(file))));
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          }
        });
  }

  /** Bytes of heap in use after a garbage collection. */
  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Runs the task on the event loop's thread and waits until it has ended. */
  private void executeOnLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          try {
            task.run();
          } finally {
            done.countDown();
          }
        });
    done.await();
  }
}
