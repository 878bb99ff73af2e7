package wheattrack.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * A process of hollow proxies on one loop. Takes orders by the line on standard input and answers
 * each by one or more lines, the last of them `end`; its input's end is its own.
 */
public final class ControlOnlyMain {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  private final EventLoop loop = new EventLoop();
  private final List<ControlOnlyProxy> all = new ArrayList<>();

  /** By revision: when it came into force at each proxy, in the clock that all processes share. */
  private final Map<Long, List<Long>> inForce = new java.util.TreeMap<>();

  private final long[] last;

  private ControlOnlyMain(int count) {
    last = new long[count];
  }

  /**
   * COUNT FIRST CONFIG [SOURCE]: so many proxies of that configuration, numbered from FIRST on;
   * with a source of settings they watch it, and it is its revisions that are reported.
   */
  public static void main(String[] args) throws Exception {
    LOG.setLevel(Level.SEVERE);
    ControlOnlyMain main = new ControlOnlyMain(Integer.parseInt(args[0]));
    main.run(
        Integer.parseInt(args[1]),
        Path.of(args[2]),
        args.length > 3 ? SocketAddressParser.parse("SOURCE", args[3]) : null);
  }

  private void run(int first, Path file, InetSocketAddress source) throws Exception {
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
    Thread thread = new Thread(loop::run, "loop");
    thread.setDaemon(true);
    thread.start();
    ProxyConfig config = ProxyConfig.read(file);
    long heap = heap();
    long began = System.nanoTime();
    on(
        () -> {
          for (int i = 0; i < last.length; i++) {
            int number = i;
            long seed = config.seed() + 31L * (first + i);
            LongConsumer told = rev -> force(number, rev);
            ControlOnlyProxy one =
                new ControlOnlyProxy(loop, group, config, seed, source == null ? told : rev -> {});
            all.add(one);
            if (source != null) {
              one.watchSettings(source, "mean", seed, told);
            }
          }
        });
    System.out.println("began " + began + " " + heap);
    System.out.println("end");
    BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "known" ->
            on(
                () ->
                    System.out.println(
                        listed()
                            + " "
                            + all.stream()
                                .mapToInt(ControlOnlyProxy::listedBackendCount)
                                .max()
                                .orElse(0)));
        case "heap" -> System.out.println(heap());
        case "forget" -> on(inForce::clear);
        case "force" -> on(this::tellForce);
        case "reload" -> reload(Path.of(words[1]));
        default -> System.out.println("unknown order: " + line);
      }
      System.out.println("end");
    }
  }

  private long listed() {
    return java.util.Arrays.stream(last).filter(rev -> rev > 0).count();
  }

  private void force(int number, long rev) {
    last[number] = rev;
    inForce.computeIfAbsent(rev, r -> new ArrayList<>()).add(System.nanoTime());
  }

  private void tellForce() {
    StringBuilder out = new StringBuilder();
    inForce.forEach(
        (rev, times) -> {
          out.append(rev);
          times.forEach(t -> out.append(' ').append(t));
          out.append('\n');
        });
    System.out.print(out);
  }

  /** Each reads and checks the file by itself, as each process would. */
  private void reload(Path file) throws InterruptedException {
    on(
        () -> {
          for (ControlOnlyProxy one : all) {
            try {
              one.reconfigure(new ProxyConfig(Json.object(java.nio.file.Files.readString(file))));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
          }
        });
  }

  private static long heap() {
    System.gc();
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private void on(Runnable what) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          try {
            what.run();
          } finally {
            done.countDown();
          }
        });
    done.await();
  }
}
