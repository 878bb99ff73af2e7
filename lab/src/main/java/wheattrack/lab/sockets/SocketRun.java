package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import wheattrack.aio.EventLoop;
import wheattrack.core.TimerQueue;
import wheattrack.lab.model.FaultTimeline;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.model.RunEnvironment;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * A deployment on loopback sockets in real time: proxies as processes of their own, and in this one
 * the stand-ins of clients, front, servers, list and links. All of it ends with the run, also when
 * that is interrupted. Times are tenths of a millisecond from the start of the run.
 */
public final class SocketRun extends RunEnvironment implements AutoCloseable {
  /** What the run itself was like. */
  public record Quality(Histogram lateMicros, long resent, long connected) {
    /** Whether the lab kept its own times so badly that the run says nothing. */
    public boolean isTooLate() {
      return lateMicros.getTotalCount() > 0 && lateMicros.getValueAtPercentile(99) > MOST_LATE;
    }
  }

  /**
   * How the proxies run: further options of their JVM, the cores they may use (as taskset has it,
   * or null for all), and whether there are none: then clients ask the server of each proxy's place
   * directly.
   */
  public record How(List<String> options, String cores, boolean direct) {
    public static final How USUAL = new How(List.of(), null, false);
  }

  private static final long MOST_LATE = 20_000; // microseconds, of one in a hundred
  private static final long READY = 300_000, SETTLE = 5_000;
  static final InetAddress HOME = InetAddress.getLoopbackAddress();

  final EventLoop loop = new EventLoop();
  final AsynchronousChannelGroup group;
  final Path folder;
  final Map<Long, Long> open =
      new HashMap<>(); // works by the number of each req that a client sent
  private final Consumer<LedgerRecord> ledger;
  private final Histogram late = new Histogram(60_000_000L, 3);
  private final List<BackendServer> servers = new ArrayList<>();
  private final DiscoveryServer list;
  private final Thread hook = new Thread(this::killAll);
  private long zero;
  private long zeroNanos;
  long resent, connected;

  /** jar: the proxies' program. */
  public SocketRun(Scenario scenario, long seed, Path jar, How how, Consumer<LedgerRecord> ledger)
      throws IOException {
    super(scenario, seed);
    this.ledger = ledger;
    if (!Files.isRegularFile(jar)) {
      throw new IOException("no such jar: " + jar);
    }
    folder = Files.createTempDirectory("wheattrack-lab");
    group = AsynchronousChannelGroup.withThreadPool(loop);
    boolean relays = scenario.faults.stream().anyMatch(f -> f.kind().name().startsWith("LINK"));
    Runtime.getRuntime().addShutdownHook(hook);
    machines().forEach(m -> servers.add(new BackendServer(this, m, relays)));
    list = new DiscoveryServer(this, servers);
    roster = list;
    for (int i = 0; i < scenario.proxies; i++) {
      doors.add(new ProxyProcess(this, i, list.port(i), jar, how, servers.get(i % servers.size())));
    }
  }

  /** Plays the whole run; fails where a proxy does not come up. */
  public Quality run() throws IOException {
    machines().forEach(m -> m.start(false));
    String[] fault = {null};
    loop.execute(
        () -> {
          doors().forEach(ProxyHandle::start);
          awaitReady(loop.now() + READY, fault);
        });
    loop.run();
    if (fault[0] != null) {
      throw new IOException(fault[0]);
    }
    return new Quality(late, resent, connected);
  }

  private void awaitReady(long latest, String[] fault) {
    if (doors().stream().allMatch(ProxyHandle::isUp)) {
      loop.schedule(SETTLE, this::begin);
    } else if (loop.now() >= latest) {
      fault[0] = "a proxy was not ready within " + READY / Scenario.SECOND + " s";
      loop.shutdown();
    } else {
      loop.schedule(100, () -> awaitReady(latest, fault));
    }
  }

  private void begin() {
    zero = loop.now();
    zeroNanos = System.nanoTime();
    FaultTimeline.schedule(this);
    crowd().open();
    after(
        end() + SETTLE,
        () -> {
          say(LedgerRecord.end(now()));
          loop.shutdown();
        });
  }

  /** Copies what the proxies logged. */
  public void keepLogs(Path to) throws IOException {
    for (ProxyHandle d : doors()) {
      Path log = ((ProxyProcess) d).log();
      if (Files.exists(log)) {
        Files.copy(log, to.resolve(log.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  /** Ends all that is left of the run. */
  @Override
  public void close() throws IOException {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // the hook is what runs this
    }
    group.shutdownNow();
    try {
      group.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try (Stream<Path> left = Files.walk(folder)) {
      for (Path p : left.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.delete(p);
      }
    }
  }

  private void killAll() {
    doors().forEach(d -> ((ProxyProcess) d).destroy());
  }

  @Override
  public long now() {
    return loop.now() - zero;
  }

  @Override
  public TimerQueue.Timer after(long delay, Runnable then) {
    return loop.schedule(delay, then);
  }

  @Override
  public void cancel(TimerQueue.Timer entry) {
    loop.cancel(entry);
  }

  @Override
  public void say(LedgerRecord e) {
    ledger.accept(e);
  }

  @Override
  public void wanted(double at) {
    long micros = (System.nanoTime() - zeroNanos) / 1000 - (long) (at * 100);
    late.recordValue(Math.max(0, Math.min(late.getHighestTrackableValue(), micros)));
  }

  @Override
  public void link(Fault fault, int server, boolean on) {
    servers.get(server).link(on ? fault : null);
  }

  /** The list's own clock, Unix time in milliseconds, for a start at that time of the run. */
  double unixMillis(long at) {
    return (zero + at) / 10.0;
  }

  /** Any free port of this machine's loopback. */
  static InetSocketAddress any() {
    return new InetSocketAddress(HOME, 0);
  }
}
