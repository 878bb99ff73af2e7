package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Logger;
import wheattrack.admin.AdminServer;
import wheattrack.admin.MetricsFormat;
import wheattrack.aio.EventLoop;
import wheattrack.aio.EventLoopFailedException;
import wheattrack.config.DynamicSettings;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.ProxyConfig;
import wheattrack.core.BackendConnectionCounters;
import wheattrack.core.Lifecycle;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.core.MemoryBudget;
import wheattrack.core.RequestCounters;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendTimeouts;
import wheattrack.net.backend.Connector;
import wheattrack.net.client.ClientListener;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.discovery.WatchConnection;
import wheattrack.net.lease.IdLeaseFile;
import wheattrack.net.lease.IdLeaseTable;
import wheattrack.net.request.RequestHandler;
import wheattrack.net.settings.SettingsSubscription;

/**
 * One proxy on real sockets: creates its components and takes them through the phases from start to
 * exit. Its public methods may be called from any thread; the work that they start runs on the
 * event loop's thread, which is the one that calls {@link #run}. Times are in tenths of a
 * millisecond unless stated otherwise.
 */
public final class ProxyServer {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  /** How often readiness is checked while warming up. */
  private static final long READINESS_CHECK_INTERVAL = 100;

  /** The warm-up starts no further round once it has simulated this number of requests. */
  private static final int MAX_WARM_UP_REQUESTS = 4000;

  /**
   * Time limit of the warm-up, in nanoseconds, where no older process serves in the meantime. With
   * 400 ms, clients of ten proxies killed in a mass restart waited that much longer or were
   * rejected.
   */
  private static final long WARM_UP_TIMEOUT_NANOS = 20_000_000;

  /** Time limit of the warm-up, in nanoseconds, while an older process still serves. */
  private static final long HANDOVER_WARM_UP_TIMEOUT_NANOS = 400_000_000;

  /**
   * How long to wait for discovery's list before the cached one is used: a watch that is silent for
   * this long counts as broken. Using the cached list earlier would send requests to backends that
   * were drained since it was written, as in a mass restart. Until then, clients wait for as long
   * as connecting to a backend may take, and are rejected after that.
   */
  private static final long LIST_TIMEOUT = WatchConnection.SILENCE_TIMEOUT;

  /**
   * How long to wait where discovery answers but its list cannot be parsed and there is no other
   * list: a proxy that is ready without a backend would draw clients away from proxies that have
   * backends. The wait is bounded so that the proxy still becomes ready within the time that a
   * restart may take.
   */
  private static final long UNREADABLE_LIST_TIMEOUT = 2 * WatchConnection.SILENCE_TIMEOUT;

  private final EventLoop loop = new EventLoop();
  private final Lifecycle lifecycle =
      new Lifecycle(phase -> EventLog.info("phase", phase.name(), null));
  private final RequestCounters counters = new RequestCounters();
  private final AsynchronousChannelGroup group;
  private final ProcessLock processLock;
  private final MemoryBudget memoryBudget;
  private final EndpointDiscovery discovery;
  private final RequestHandler requestHandler;
  private final ClientListener clientListener;

  /** Null if no admin address is configured. */
  private final AdminServer admin;

  private final ConfigurationReloader reloader;

  /** Null if no source of settings is watched. */
  private final SettingsSubscription settingsSubscription;

  private final ProcessHandover handover;
  private final CountDownLatch endedLatch = new CountDownLatch(1);

  /** Why the listening address could not be bound, or null. */
  private String listenFault;

  /**
   * Creates a proxy that reads no load from backends' responses and watches no source of settings.
   *
   * @throws IOException if its sockets cannot be opened
   * @throws InvalidConfigurationException if the admin address cannot be bound
   */
  public ProxyServer(ProxyConfig config) throws IOException {
    this(config, "");
  }

  /**
   * Creates a proxy that watches no source of settings.
   *
   * @param loadHeader header of backends' responses that holds their load; empty: none does
   * @throws IOException if its sockets cannot be opened
   * @throws InvalidConfigurationException if the admin address cannot be bound
   */
  public ProxyServer(ProxyConfig config, String loadHeader) throws IOException {
    this(config, loadHeader, null, "");
  }

  /**
   * Creates a proxy. It listens immediately, unless an older process still listens at the address,
   * and accepts connections once it runs.
   *
   * @param loadHeader header of backends' responses that holds their load; empty: none does
   * @param settingsSource where settings are watched, or null
   * @param scope the scope sent with requests for settings and for the endpoint list; empty: none
   * @throws IOException if its sockets cannot be opened
   * @throws InvalidConfigurationException if the admin address cannot be bound
   */
  public ProxyServer(
      ProxyConfig config, String loadHeader, InetSocketAddress settingsSource, String scope)
      throws IOException {
    group = loop.channelGroup();
    boolean sharesAddress = config.listen().getPort() != 0;
    String address = config.listen().toString();
    processLock = new ProcessLock(sharesAddress ? sharedFolder() : null, address);
    IdLeaseTable idLeases =
        sharesAddress ? IdLeaseFile.open(sharedFolder(), address) : IdLeaseTable.unshared();
    DescriptorBudget budget = DescriptorBudget.of(config, processLock.isOtherProcessPresent());
    memoryBudget =
        new MemoryBudget(
            MessageMemory.limit(config, processLock.isOtherProcessPresent()),
            loop::now,
            loop::defer,
            new MemoryReclaimLog(loop::now));
    Connector connector = newConnector(config, budget);
    discovery = new EndpointDiscovery(loop, group, connector, config, scope);
    requestHandler =
        new RequestHandler(
            loop, discovery, counters, config.settings(), config.seed(), loadHeader, idLeases);
    clientListener =
        new ClientListener(
            loop,
            lifecycle,
            budget.clients(),
            config.maxBodyBytes(),
            requestHandler,
            memoryBudget,
            () -> discovery.hasList() ? "" : ", no list");
    requestHandler.setListener(clientListener);
    requestHandler.setOtherProcessPresent(processLock.isOtherProcessPresent());
    if (processLock.role() != ProcessLock.Role.NEWER) {
      clientListener.listen(group, config.listen());
    }
    admin = config.admin() == null ? null : openAdmin(config.admin(), connector.counters());
    DynamicSettings dynamicSettings = settingsSource == null ? null : new DynamicSettings();
    reloader =
        new ConfigurationReloader(
            config, requestHandler, connector, discovery, counters, dynamicSettings);
    settingsSubscription =
        settingsSource == null ? null : newSubscription(settingsSource, scope, dynamicSettings);
    handover =
        new ProcessHandover(
            loop,
            lifecycle,
            processLock,
            reloader,
            clientListener,
            connector,
            requestHandler,
            memoryBudget,
            this::closeControlPlane);
  }

  /**
   * The folder of the lock file and of the leases on ids, which all processes of this proxy can
   * access.
   */
  private static Path sharedFolder() {
    String folder = System.getenv("TMPDIR");
    return Path.of(
        folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
  }

  private Connector newConnector(ProxyConfig config, DescriptorBudget budget) {
    BackendTimeouts timeouts = BackendTimeouts.of(config.settings());
    return new Connector(
        loop,
        group,
        budget.backends(),
        config.maxBodyBytes(),
        memoryBudget,
        timeouts.connect(),
        timeouts.idleClose());
  }

  private SettingsSubscription newSubscription(
      InetSocketAddress source, String scope, DynamicSettings dynamicSettings) {
    return new SettingsSubscription(
        loop,
        group,
        source,
        scope,
        reloader.config().seed(),
        counters,
        dynamicSettings,
        changed -> reloader.applyDynamicSettings());
  }

  private AdminServer openAdmin(
      InetSocketAddress address, BackendConnectionCounters backendConnectionCounters) {
    MetricsFormat metrics =
        new MetricsFormat(
            counters,
            clientListener.counters(),
            backendConnectionCounters,
            memoryBudget,
            requestHandler::openRequests,
            discovery::listedCount,
            requestHandler::ejectedBackends,
            discovery::unusedCount,
            loop::failedSteps);
    try {
      return new AdminServer(loop, group, lifecycle, address, metrics::text);
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          "admin", "cannot listen on " + address + ": " + e.getMessage());
    }
  }

  /**
   * The port of the admin address; useful where the configured port is 0 and the system chooses it.
   *
   * @throws IOException if the admin socket is closed
   */
  public int adminPort() throws IOException {
    return admin.port();
  }

  /**
   * The port that it listens at; useful where the configured port is 0 and the system chooses it.
   *
   * @throws IOException if the listening socket is closed
   */
  public int port() throws IOException {
    return clientListener.port();
  }

  /** Whether no request is open and no client connected; the value may be a moment old. */
  public boolean isIdle() {
    return requestHandler.openRequests() == 0 && clientListener.connectionCount() == 0;
  }

  /**
   * Serves on the calling thread until the shutdown is complete.
   *
   * @throws InvalidConfigurationException if the listening address cannot be bound
   * @throws EventLoopFailedException if an error outside of the loop's steps has ended it
   */
  public void run() {
    ProxyConfig config = reloader.config();
    LOG.info(config.name() + " at " + config.listen() + ", list from " + config.discovery());
    lifecycle.advanceTo(Phase.WARMING);
    loop.execute(this::warmUp);
    if (settingsSubscription != null) {
      loop.execute(settingsSubscription::watch);
    }
    try {
      loop.run();
      processLock.close();
      lifecycle.advanceTo(Phase.ENDED);
    } finally {
      endedLatch.countDown();
    }
    if (listenFault != null) {
      throw new InvalidConfigurationException("listen", listenFault);
    }
  }

  private void warmUp() {
    boolean isNewer = processLock.role() == ProcessLock.Role.NEWER;
    int requests =
        new JitWarmUp(reloader.config().settings())
            .run(
                MAX_WARM_UP_REQUESTS,
                isNewer ? HANDOVER_WARM_UP_TIMEOUT_NANOS : WARM_UP_TIMEOUT_NANOS);
    LOG.fine("warmed up with " + requests + " reqs");
    handover.watchOtherProcess();
    serveWhenReady(loop.now());
  }

  /**
   * Starts to serve once the endpoint list and the settings were received or the time limit for
   * them has passed; otherwise checks again later.
   */
  private void serveWhenReady(long waitingSince) {
    if (lifecycle.isShuttingDown()) {
      return; // the shutdown began before the proxy was ready: no client is accepted
    }
    long waited = loop.now() - waitingSince;
    boolean isReady = discovery.hasList() && !reloader.isWaitingForSource();
    if (isReady || waited >= readinessTimeout()) {
      discovery.useCachedList();
      openToClients();
      lifecycle.advanceTo(Phase.SERVING);
    } else {
      if (clientListener.isListening() && waited >= connectTimeout()) {
        clientListener.startAccepting(); // clients are rejected rather than left waiting
      }
      loop.schedule(READINESS_CHECK_INTERVAL, () -> serveWhenReady(waitingSince));
    }
  }

  private long readinessTimeout() {
    return discovery.hasList() || !discovery.isUnreadable()
        ? LIST_TIMEOUT
        : UNREADABLE_LIST_TIMEOUT;
  }

  private long connectTimeout() {
    return BackendTimeouts.of(reloader.config().settings()).connect();
  }

  /**
   * Accepts clients from now on, as they can be served. A newer process binds the listening address
   * only now, as until now the older process serves there.
   */
  private void openToClients() {
    InetSocketAddress address = reloader.config().listen();
    try {
      if (!clientListener.isListening()) {
        clientListener.listen(group, address);
      }
      clientListener.startAccepting();
    } catch (IOException e) {
      listenFault = "cannot listen on " + address + ": " + e.getMessage();
      loop.shutdown();
    }
  }

  private void closeControlPlane() {
    if (settingsSubscription != null) {
      settingsSubscription.close();
    }
    if (admin != null) {
      admin.close();
    }
  }

  /**
   * Shuts down gracefully, and returns when that is complete. To be called from another thread than
   * the event loop's.
   */
  public void shutdown() {
    loop.execute(handover::drain);
    try {
      endedLatch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reads the configuration file again, in a step of the event loop; an invalid file is logged and
   * changes nothing.
   */
  public void reload(Path file) {
    loop.execute(() -> reloader.reload(file));
  }

  /**
   * Watches another source or scope of settings, in a step of the event loop. Starting to watch a
   * source, or stopping, requires a restart.
   *
   * @param source the new source, or null
   * @param scope the new scope; empty: none
   */
  public void resubscribe(InetSocketAddress source, String scope) {
    loop.execute(() -> reloader.resubscribe(settingsSubscription, source, scope));
  }
}
