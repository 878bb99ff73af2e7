package wheattrack.net.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import wheattrack.aio.EventLoop;
import wheattrack.api.LoadBalancer;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.ProxyConfig;
import wheattrack.core.TimerQueue;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.backend.Connector;

/**
 * Keeps a watch on discovery open and applies its events to the endpoint list. The policy decides
 * how long to wait after a failed watch, and then calls {@link #watchEndpoints}. Runs on the event
 * loop's thread only.
 */
public final class EndpointDiscovery {
  private static final String PATH = "/v1/endpoints";

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final EndpointListParser parser;
  private final BackendHistory history = new BackendHistory();
  private final BackendPoolTable pools;
  private InetSocketAddress address;
  private String scope;
  private LoadBalancer loadBalancer;
  private LongConsumer revisionListener = revision -> {};
  private WatchConnection watch;

  /** Revision of the last event of the current source; negative if there was none. */
  private long revision = -1;

  /** Whether no list has been received since the scope changed. */
  private boolean isNewScope;

  /** Runs when the next held backend is used again; null: none is held. */
  private TimerQueue.Timer releaseTimer;

  /** Whether discovery answers, but with events that cannot be parsed or exceed a limit. */
  private boolean isUnreadable;

  /** The cached list until it is used or an event is received; null afterwards, or if empty. */
  private JsonObjectReader cachedList;

  /**
   * Creates a discovery whose watch is not open yet.
   *
   * @param connector opens the connections to backends
   * @param config has discovery's address, the zones and kinds, and the cached list
   * @param scope the scope sent with each request for the list; empty: none
   */
  public EndpointDiscovery(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Connector connector,
      ProxyConfig config,
      String scope) {
    this.loop = loop;
    this.group = group;
    this.scope = scope;
    address = config.discovery();
    parser =
        new EndpointListParser(config.settings().list("zones"), config.settings().list("kinds"));
    cachedList = config.cachedEndpoints().has("targets") ? config.cachedEndpoints() : null;
    pools = new BackendPoolTable(loop::now, connector, history);
  }

  /** Sets the policy that is notified of the list; to be called before the watch is opened. */
  public void setLoadBalancer(LoadBalancer loadBalancer) {
    this.loadBalancer = loadBalancer;
    pools.setLoadBalancer(loadBalancer);
  }

  /** Sets the listener that is called with each revision of the list once the policy uses it. */
  public void setRevisionListener(LongConsumer revisionListener) {
    this.revisionListener = revisionListener;
  }

  /** The names of zones, in the order of their indexes. */
  public List<?> zones() {
    return parser.zones();
  }

  /** The pool of the backend at this index. */
  public BackendConnectionPool pool(int backendIndex) {
    return pools.pool(backendIndex);
  }

  /** Number of listed backends. */
  public int listedCount() {
    return pools.listedCount();
  }

  /** Number of listed backends beyond the policy's limit; they receive no requests. */
  public int unusedCount() {
    return pools.unusedCount();
  }

  /** Whether an endpoint list is in use, cached or from discovery. */
  public boolean hasList() {
    return revision >= 0;
  }

  /** Whether discovery answers, but with events that cannot be parsed or exceed a limit. */
  public boolean isUnreadable() {
    return isUnreadable;
  }

  /** Applies the cached list, if there is one and no list has been received from discovery. */
  public void useCachedList() {
    if (cachedList != null) {
      JsonObjectReader cached = cachedList;
      cachedList = null;
      apply(cached, true);
    }
  }

  /**
   * Opens a watch for the events after the revision in use, unless a watch is open. If the previous
   * watch delivered valid lines, the timeout for the first line is shorter, so that a second silent
   * watch is detected in time.
   */
  public void watchEndpoints() {
    if (watch != null && !watch.isClosed()) {
      return;
    }
    long firstLineTimeout =
        watch != null && watch.deliveredValidLines()
            ? WatchConnection.FIRST_LINE_TIMEOUT
            : WatchConnection.SILENCE_TIMEOUT;
    try {
      watch =
          WatchConnection.open(
              loop,
              group,
              new WatchConnection.Target(address, PATH, revision, scope),
              firstLineTimeout,
              this::onLine,
              this::onWatchFailed);
    } catch (IOException e) {
      onWatchFailed(e.toString(), false, false);
    }
  }

  /** Sends this scope with requests from now on, and requests the complete list of the scope. */
  public void changeScope(String newScope) {
    if (!newScope.equals(scope)) {
      scope = newScope;
      isNewScope = true;
      history.onScopeChanged();
      watchFromSnapshot();
    }
  }

  /**
   * Watches at this address from now on, beginning with the complete list, as the revisions there
   * may be unrelated to those of the previous address. What is known of backends that do not serve
   * remains, as the list there may be older.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      history.onSourceChanged();
      watchFromSnapshot();
    }
  }

  private void watchFromSnapshot() {
    if (watch != null) {
      watch.close();
    }
    revision = -1;
    watchEndpoints();
  }

  /**
   * Opens a new watch immediately after a silent one, whose timeout already served as the pause;
   * after any other failure, the policy decides on the pause. With a pause after a silent watch,
   * when discovery was silent for longer than one watch timeout, the next watch was delayed by up
   * to 1.5 s while discovery's changes already counted as notified.
   */
  private void onWatchFailed(String reason, boolean isSilent, boolean deliveredValidLines) {
    EventLog.info("watch on the list", null, reason);
    isUnreadable = watch != null && watch.isUnreadable();
    if (isSilent || !deliveredValidLines) {
      pools.extendHolds();
      scheduleRelease();
    }
    if (isSilent) {
      watchEndpoints();
    } else {
      loadBalancer.endpointListFailed(deliveredValidLines);
    }
  }

  private void onLine(String line) {
    try {
      JsonObjectReader event = new JsonObjectReader(Json.object(line));
      if (cachedList != null && needsCachedList(event)) {
        useCachedList();
      }
      cachedList = null;
      apply(event, false);
    } catch (IOException | InvalidConfigurationException e) {
      // The watch ends, and the next one requests the events after the revision in use again.
      watch.failUnreadable("invalid event: " + WatchConnection.firstLineOfMessage(e));
    }
  }

  /**
   * Whether the cached list must be applied before this event: the event contains only changes, or
   * it is older than the cached list and must not reinstate backends that are draining according to
   * the cached list.
   */
  private boolean needsCachedList(JsonObjectReader event) {
    return !event.flag("all") || event.wholeNumber("rev", -1) < cachedList.wholeNumber("rev", -1);
  }

  /**
   * Applies an event. Changes of an older revision are skipped. A complete list of an older
   * revision is applied, as discovery may have restarted or may be behind; {@link BackendHistory}
   * tells which backends it must not bring back.
   *
   * @param isCached whether the event is the cached list
   */
  private void apply(JsonObjectReader eventFields, boolean isCached) {
    EndpointListParser.Event event = EndpointListParser.event(eventFields, revision);
    long newestRevision = Math.max(revision, history.newestRevision());
    if (event.revision() < newestRevision) {
      EventLog.warning(
          "old news of the list",
          null,
          "revision " + event.revision() + " after " + newestRevision);
    }
    if (event.revision() < revision && !event.isSnapshot()) {
      return;
    }
    if (event.isSnapshot()) {
      Set<Object> ids = new HashSet<>();
      event.entries().forEach(entry -> ids.add(EndpointListParser.rawId(entry)));
      pools.removeAllExcept(ids, event.revision(), isNewScope);
    }
    applyEntries(event);
    revision = event.revision();
    isNewScope = false;
    isUnreadable = false;
    history.onEventApplied(revision, loop.now());
    loadBalancer.endpointListUpdated(isCached);
    revisionListener.accept(revision);
    scheduleRelease();
  }

  private void scheduleRelease() {
    loop.cancel(releaseTimer);
    long time = pools.nextRelease();
    releaseTimer =
        time == Long.MAX_VALUE ? null : loop.schedule(time - loop.now(), this::releaseHeldBackends);
  }

  private void releaseHeldBackends() {
    if (pools.releaseDue()) {
      loadBalancer.endpointListUpdated(false);
    }
    scheduleRelease();
  }

  private void applyEntries(EndpointListParser.Event event) {
    List<JsonObjectReader> entries = event.entries();
    pools.beginUpdate();
    int skippedCount = 0;
    String firstFault = null;
    for (JsonObjectReader entry : entries) {
      try {
        pools.apply(parser.entry(entry), event.revision());
      } catch (InvalidConfigurationException e) {
        if (skippedCount == 0) {
          firstFault = e.getMessage();
        }
        skippedCount++;
      }
    }
    if (skippedCount > 0) { // a single line for all skipped entries
      EventLog.warning(
          "skipped " + skippedCount + " of " + entries.size() + " entries of the list",
          null,
          firstFault);
    }
    pools.releaseUnknownIfNoneServes();
    pools.logChanges(entries.size());
  }
}
