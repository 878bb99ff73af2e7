package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
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
import org.HdrHistogram.Histogram;
import wheattrack.aio.EventLoop;
import wheattrack.core.TimerQueue;
import wheattrack.lab.model.FaultTimeline;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.model.RunEnvironment;
import wheattrack.lab.process.TemporaryDirectory;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * A deployment on loopback sockets in real time: proxies as separate processes, and in this process
 * the models of clients, front load balancer, backends, endpoint list and links. The proxies are
 * killed when the run is closed, and also when this process is terminated. Times are tenths of a
 * millisecond from the start of the run.
 */
public final class SocketRun extends RunEnvironment implements AutoCloseable {
  /**
   * Measurements of the lab's own load generator.
   *
   * @param latenessMicros how much later than planned operations started, in microseconds
   * @param resentRequests requests sent again because the proxy had closed their connection
   * @param openedConnections connections that clients opened to proxies
   */
  public record LoadMeasurements(
      Histogram latenessMicros, long resentRequests, long openedConnections) {
    /** Whether operations started so late that the run is inconclusive. */
    public boolean isTooLate() {
      return latenessMicros.getTotalCount() > 0
          && latenessMicros.getValueAtPercentile(LATENESS_PERCENTILE) > MAX_LATENESS_MICROS;
    }
  }

  /**
   * How the proxies run.
   *
   * @param jvmOptions further options of their JVM
   * @param cores the cores that they may use, as a CPU list of taskset, or null for all
   * @param direct whether there are no proxies: then the clients of each proxy connect to the
   *     backend of its index
   */
  public record ProxyOptions(List<String> jvmOptions, String cores, boolean direct) {
    /** No further JVM options, on all cores. */
    public static final ProxyOptions DEFAULT = new ProxyOptions(List.of(), null, false);
  }

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** The percentile of operations whose lateness is compared with {@link #MAX_LATENESS_MICROS}. */
  private static final double LATENESS_PERCENTILE = 99;

  /** The greatest lateness at that percentile of a conclusive run, in microseconds. */
  private static final long MAX_LATENESS_MICROS = 20_000;

  /** The greatest lateness that is recorded, in microseconds; greater ones are reduced to it. */
  private static final long MAX_RECORDED_MICROS = 60_000_000;

  /** The precision of the lateness histogram, in significant decimal digits. */
  private static final int LATENESS_DIGITS = 3;

  /** How long the proxies may take until all are ready. */
  private static final long READY_TIMEOUT = 300_000;

  /** Time between two checks whether all proxies are ready. */
  private static final long READINESS_INTERVAL = 100;

  /**
   * Time without new load between the proxies' readiness and the run, and after the last deadline.
   */
  private static final long SETTLE_TIME = 5_000;

  /** How long closing waits for the end of the channel group. */
  private static final long GROUP_TIMEOUT_SECONDS = 1;

  private static final long NANOS_PER_MICRO = 1000;

  private final EventLoop loop = new EventLoop();
  private final AsynchronousChannelGroup group;
  private final TemporaryDirectory directory;
  private final Map<Long, Long> workByRequest = new HashMap<>();
  private final Histogram lateness = new Histogram(MAX_RECORDED_MICROS, LATENESS_DIGITS);
  private final List<BackendServer> backendServers = new ArrayList<>();
  private final Thread shutdownHook = new Thread(this::killAll);
  private String startFailure;
  private long startedAt;
  private long startedNanos;
  private long resentRequests;
  private long openedConnections;

  /**
   * Sets up a run; the proxies start with {@link #run}.
   *
   * @param jar the jar file of the proxies
   */
  public SocketRun(
      Scenario scenario, long seed, Path jar, ProxyOptions options, Consumer<LedgerRecord> ledger)
      throws IOException {
    super(scenario, seed, ledger);
    if (!Files.isRegularFile(jar)) {
      throw new IOException("the jar of the proxies does not exist: " + jar);
    }
    directory = new TemporaryDirectory("wheattrack-lab");
    group = loop.channelGroup();
    boolean withFaultyLinks =
        scenario.faults().stream().anyMatch(fault -> fault.kind().hitsLinks());
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    backends()
        .forEach(backend -> backendServers.add(new BackendServer(this, backend, withFaultyLinks)));
    DiscoveryServer discovery = new DiscoveryServer(this, backendServers);
    setRegistry(discovery);
    for (int index = 0; index < scenario.proxyCount(); index++) {
      BackendServer directBackend = backendServers.get(index % backendServers.size());
      addProxy(new ProxyProcess(this, index, discovery.port(index), jar, options, directBackend));
    }
  }

  /**
   * Runs the complete scenario.
   *
   * @throws IOException if a proxy does not become ready in time
   */
  public LoadMeasurements run() throws IOException {
    backends().forEach(backend -> backend.start(false));
    loop.execute(
        () -> {
          proxies().forEach(ProxyHandle::start);
          awaitReady(loop.now() + READY_TIMEOUT);
        });
    loop.run();
    if (startFailure != null) {
      throw new IOException(startFailure);
    }
    return new LoadMeasurements(lateness, resentRequests, openedConnections);
  }

  private void awaitReady(long deadline) {
    if (proxies().stream().allMatch(ProxyHandle::isUp)) {
      loop.schedule(SETTLE_TIME, this::begin);
    } else if (loop.now() >= deadline) {
      startFailure =
          "proxies not ready within "
              + READY_TIMEOUT / Scenario.SECOND
              + " s: "
              + proxies().stream().filter(proxy -> !proxy.isUp()).map(ProxyHandle::index).toList();
      loop.shutdown();
    } else {
      loop.schedule(READINESS_INTERVAL, () -> awaitReady(deadline));
    }
  }

  private void begin() {
    startedAt = loop.now();
    startedNanos = System.nanoTime();
    FaultTimeline.schedule(this);
    clients().scheduleNextArrival();
    schedule(
        lastDeadline() + SETTLE_TIME,
        () -> {
          record(LedgerRecord.end(now()));
          loop.shutdown();
        });
  }

  /** Copies the proxies' logs into a directory. */
  public void copyLogs(Path directory) throws IOException {
    for (ProxyHandle proxy : proxies()) {
      Path log = ((ProxyProcess) proxy).log();
      if (Files.exists(log)) {
        Files.copy(log, directory.resolve(log.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  /** Kills the proxies' processes and deletes the run's files. */
  @Override
  public void close() throws IOException {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // the JVM is shutting down, so that the hook runs or has run
    }
    group.shutdownNow();
    try {
      group.awaitTermination(GROUP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    directory.close();
  }

  private void killAll() {
    proxies().forEach(proxy -> ((ProxyProcess) proxy).destroy());
  }

  /** The event loop, on whose thread the run takes place. */
  EventLoop loop() {
    return loop;
  }

  /** The channels of the run; their handlers run on the loop's thread. */
  AsynchronousChannelGroup group() {
    return group;
  }

  /** The directory of the proxies' configuration and logs, deleted with the run. */
  Path directory() {
    return directory.path();
  }

  /** Remembers the work of a request that a client sends. */
  void expectRequest(long requestId, long work) {
    workByRequest.put(requestId, work);
  }

  /** Forgets the work of a request, once no attempt of it can arrive any more. */
  void forgetRequest(long requestId) {
    workByRequest.remove(requestId);
  }

  /** The work of a request, or null if no client has sent it or it was forgotten. */
  Long workOf(long requestId) {
    return workByRequest.get(requestId);
  }

  void countResentRequest() {
    resentRequests++;
  }

  void countOpenedConnection() {
    openedConnections++;
  }

  @Override
  public long now() {
    return loop.now() - startedAt;
  }

  @Override
  public TimerQueue.Timer schedule(long delay, Runnable action) {
    return loop.schedule(delay, action);
  }

  @Override
  public void cancel(TimerQueue.Timer timer) {
    loop.cancel(timer);
  }

  @Override
  public void arrivalStarted(double plannedAt) {
    long plannedMicros = (long) (plannedAt * Scenario.MICROSECONDS_PER_UNIT);
    long micros = (System.nanoTime() - startedNanos) / NANOS_PER_MICRO - plannedMicros;
    lateness.recordValue(Math.max(0, Math.min(lateness.getHighestTrackableValue(), micros)));
  }

  @Override
  public void setLinkFault(Fault fault, int backend, boolean active) {
    backendServers.get(backend).setLinkFault(active ? fault : null);
  }

  /** The Unix time in milliseconds, by the event loop's clock, of a time of the run. */
  double unixMillis(long time) {
    return Scenario.toMillis(startedAt + time);
  }
}
