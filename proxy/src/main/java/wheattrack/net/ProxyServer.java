package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Logger;
import wheattrack.admin.AdminServer;
import wheattrack.admin.MetricsFormat;
import wheattrack.aio.EventLoop;
import wheattrack.api.RequestClass;
import wheattrack.config.DynamicSettings;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.ProxyConfig;
import wheattrack.config.Settings;
import wheattrack.core.Lifecycle;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.core.RequestCounters;
import wheattrack.log.EventLog;

/** One real proxy: puts the parts together and leads them from start to exit. */
public final class ProxyServer {
  private static final Logger LOG = Logger.getLogger("wheattrack");
  // Of the descriptors: some for the program itself, parts of the rest, the last bit for surplus
  // clients.
  private static final int OWN = 32;
  private static final double CLIENTS = 0.58, BACKENDS = 0.36;
  private static final long LOOK = 100; // how often an end is looked for, tenths of a millisecond
  private static final int WARM_REQS = 4000;
  // Mass restart: with 400 ms, the clients of ten killed proxies waited so much longer or were
  // turned away.
  private static final long WARM_NANOS = 20_000_000;
  private static final long WARM_BESIDE = 400_000_000; // while an older process still serves
  private static final long LOOK_BESIDE = 1000; // how often a process beside this one is looked for
  // For discovery's list before the one known of old is used: a watch silent so long is dead. Mass
  // restart: the known one named drained srvs. Clients wait as long as a dial may take, then are
  // denied.
  private static final long LIST_WAIT = WatchConnection.SILENCE;
  // Where discovery answers and its list can't be read: a proxy that knows of no backend takes
  // clients from
  // those that do. Ready all the same in the time that a restart may take.
  private static final long UNREAD_WAIT = 2 * WatchConnection.SILENCE;

  private ProxyConfig config;
  private final EventLoop loop = new EventLoop();
  private final Lifecycle life = new Lifecycle(phase -> EventLog.info("phase", phase.name(), null));
  private final RequestCounters counts = new RequestCounters();
  private final ClientListener front;
  private final AdminServer admin;
  private final EndpointDiscovery listing;
  private final RequestHandler proxy;
  private final Connector dialler;
  private final DynamicSettings feed;
  private final SettingsSubscription settingsWatch;
  private long longest;
  private final AsynchronousChannelGroup group;
  private final ProcessLock seats;
  private String fault;
  private final CountDownLatch ended = new CountDownLatch(1);

  public ProxyServer(ProxyConfig config) throws IOException {
    this(config, "");
  }

  /** loadHeader: of backends' answers, where their load stands; empty where answers carry none. */
  public ProxyServer(ProxyConfig config, String loadHeader) throws IOException {
    this(config, loadHeader, null, "");
  }

  /**
   * source: where settings are watched, or null; scope: goes with requests for them and the list.
   */
  public ProxyServer(ProxyConfig config, String loadHeader, InetSocketAddress source, String scope)
      throws IOException {
    this.config = config;
    group = AsynchronousChannelGroup.withThreadPool(loop);
    seats =
        new ProcessLock(
            config.listen().getPort() == 0 ? null : shared(), config.listen().toString());
    Settings settings = config.settings();
    dialler =
        new Connector(
            loop,
            group,
            (int) (BACKENDS * free()),
            config.maxBodyBytes(),
            settings.time("limits.dialTimeout", 250_000),
            settings.time("limits.idleClose", 0));
    listing =
        new EndpointDiscovery(
            loop,
            group,
            dialler,
            config.discovery(),
            settings.list("zones"),
            settings.list("kinds"),
            config.cachedEndpoints(),
            scope);
    proxy = new RequestHandler(loop, listing, counts, settings, config.seed(), loadHeader);
    front =
        new ClientListener(
            loop,
            life,
            (int) (CLIENTS * free()),
            config.maxBodyBytes(),
            proxy,
            () -> listing.isThere() ? "" : ", no list");
    proxy.from(front);
    proxy.beside(isBeside());
    if (seats.place() != ProcessLock.Place.NEWER) {
      front.listen(group, config.listen());
    }
    admin = config.admin() == null ? null : admin(group);
    longest = longest(settings);
    feed = source == null ? null : new DynamicSettings();
    settingsWatch =
        source == null
            ? null
            : new SettingsSubscription(
                loop, group, source, scope, config.seed(), counts, feed, told -> turnToTold());
  }

  /** Other settings of the watched source hold. */
  private void turnToTold() {
    proxy.turnTo(config.settings(), feed);
    longest = Math.max(longest, feed.longestClientTimeout());
    if (!feed.limitNames().isEmpty()) {
      dial(feed.overlay(config.settings()));
    }
  }

  private void dial(Settings settings) {
    dialler.times(
        settings.time("limits.dialTimeout", 250_000), settings.time("limits.idleClose", 0));
  }

  private static long longest(Settings settings) {
    return Arrays.stream(PolicySettingsMapper.requestClasses(settings))
        .mapToLong(RequestClass::clientTimeout)
        .max()
        .orElse(0);
  }

  /** The folder that all processes of this proxy can reach. */
  private static Path shared() {
    String folder = System.getenv("TMPDIR");
    return Path.of(
        folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
  }

  private boolean isBeside() {
    return seats.place() != ProcessLock.Place.ALONE;
  }

  /**
   * Descriptors for clients and backends; two processes beside each other have half of all each.
   */
  private int free() {
    int own =
        Math.max(OWN, config.maxDescriptors() / 16)
            + (config.admin() == null ? 0 : 1 + AdminServer.MAX_CONNECTIONS);
    return Math.max(8, (isBeside() ? config.maxDescriptors() / 2 : config.maxDescriptors()) - own);
  }

  private void lookBeside() {
    boolean was = isBeside();
    seats.look();
    if (was != isBeside()) {
      front.limit((int) (CLIENTS * free()));
      dialler.limit((int) (BACKENDS * free()));
      proxy.beside(isBeside());
    }
    loop.schedule(LOOK_BESIDE, this::lookBeside);
  }

  private AdminServer admin(AsynchronousChannelGroup group) {
    MetricsFormat figures =
        new MetricsFormat(counts, proxy::open, listing::listed, proxy::avoided, listing::leftOut);
    try {
      return new AdminServer(loop, group, life, config.admin(), figures::text);
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          "admin", config.admin() + " can't be had: " + e.getMessage());
    }
  }

  /** The port that operators call at. */
  public int adminPort() throws IOException {
    return admin.port();
  }

  /** The port it listens at; of use where the configuration leaves the choice to the system. */
  public int port() throws IOException {
    return front.port();
  }

  /** Serves until it is told to end and has ended in order. */
  public void run() {
    LOG.info(config.name() + " at " + config.listen() + ", list from " + config.discovery());
    life.advanceTo(Phase.WARMING);
    loop.execute(this::warmUp);
    if (settingsWatch != null) {
      loop.execute(settingsWatch::watch);
    }
    try {
      loop.run();
      seats.close();
      life.advanceTo(Phase.ENDED);
    } finally {
      ended.countDown();
    }
    if (fault != null) {
      throw new InvalidConfigurationException("listen", fault);
    }
  }

  private void warmUp() {
    boolean newer = seats.place() == ProcessLock.Place.NEWER;
    int reqs = new JitWarmUp(config.settings()).run(WARM_REQS, newer ? WARM_BESIDE : WARM_NANOS);
    LOG.fine("warmed up with " + reqs + " reqs");
    lookBeside();
    readyFrom(loop.now());
  }

  private void readyFrom(long from) {
    if (life.isShuttingDown()) {
      return; // told to end before it was ready: nobody is let in
    }
    long waited = loop.now() - from;
    boolean there = listing.isThere() && (feed == null || feed.isPresent());
    if (there || waited >= (listing.isThere() || !listing.isUnread() ? LIST_WAIT : UNREAD_WAIT)) {
      listing.fallBack();
      openLate();
      life.advanceTo(Phase.SERVING);
    } else {
      if (front.isListening() && waited >= config.settings().time("limits.dialTimeout", 250_000)) {
        front.open();
      }
      loop.schedule(LOOK, () -> readyFrom(from));
    }
  }

  /**
   * Clients are let in only now that they can be served; a newer process only now takes its
   * address.
   */
  private void openLate() {
    try {
      if (!front.isListening()) {
        front.listen(group, config.listen());
      }
      front.open();
    } catch (IOException e) {
      fault = config.listen() + " can't be had: " + e.getMessage();
      loop.shutdown();
    }
  }

  /** Whether no req is open and no client connected; a look from another thread, a moment old. */
  public boolean isQuiet() {
    return proxy.open() == 0 && front.taken() == 0;
  }

  /** From another thread: ends in order, and returns when that is done. */
  public void end() {
    loop.execute(this::drain);
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** From another thread: the file is read again, between two steps. */
  public void reread(Path file) {
    loop.execute(
        () -> {
          try {
            turnTo(ProxyConfig.reread(file, config));
            counts.reloadsApplied++;
          } catch (InvalidConfigurationException e) {
            counts.reloadsRejected++;
            String name = e.getMessage().startsWith(file.toString()) ? null : file.toString();
            EventLog.warning("configuration kept as it was", name, e.getMessage());
          }
        });
  }

  /** From another thread: the operators' file names another source or scope of settings. */
  public void resubscribe(InetSocketAddress source, String scope) {
    loop.execute(
        () -> {
          if (settingsWatch == null || source == null) {
            EventLog.warning(
                "settings' source kept as it was", null, "only a restart begins or ends a watch");
          } else {
            settingsWatch.turnTo(source, scope);
            listing.turnTo(scope);
          }
        });
  }

  /** Reqs, connections and what is learnt stay; what only a start can change is named. */
  private void turnTo(ProxyConfig next) {
    List<String> fixed = next.changedFixedKeys(config);
    LOG.info(
        "configuration read again, list from "
            + next.discovery()
            + (fixed.isEmpty() ? "" : "; only a restart brings in " + fixed));
    proxy.turnTo(next.settings(), feed);
    dial(feed == null ? next.settings() : feed.overlay(next.settings()));
    longest =
        Math.max(longest, longest(next.settings())); // what is under way may still take as long
    listing.moveTo(next.discovery());
    config = next;
  }

  private void drain() {
    if (life.advanceTo(Phase.DRAINING)) {
      if (seats.look() == ProcessLock.Place.OLDER) {
        front.shut(); // new connections are the newer process's
      } else if (front.isListening()) {
        front.open(); // before it was ready, too: who has connected is answered
      }
      loop.schedule(config.drainTime(), () -> loop.execute(this::close));
    }
  }

  private void close() {
    life.advanceTo(Phase.CLOSING);
    front.shut();
    long latest = loop.now() + longest;
    proxy.endsAt(latest);
    loop.execute(() -> endWhenAnswered(latest));
  }

  private void endWhenAnswered(long latest) {
    front.closeIdle();
    boolean empty = !front.isListening() && front.taken() == 0 && proxy.open() == 0;
    if (empty || loop.now() >= latest) {
      dialler.closeAll();
      if (settingsWatch != null) {
        settingsWatch.close();
      }
      if (admin != null) {
        admin.close();
      }
      loop.shutdown();
    } else {
      loop.schedule(LOOK, () -> loop.execute(() -> endWhenAnswered(latest)));
    }
  }
}
