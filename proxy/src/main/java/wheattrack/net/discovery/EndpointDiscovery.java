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
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.backend.Connector;

/**
 * The endpoint list: keeps a watch on discovery and applies its events. The policy decides how long
 * to wait after a failed watch, and calls {@link #watchEndpoints} then. Runs on the event loop's
 * thread only.
 */
public final class EndpointDiscovery {
  private static final String PATH = "/v1/endpoints";

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final EndpointListParser parser;
  private final BackendPoolTable pools;
  private InetSocketAddress address;
  private String scope;
  private LoadBalancer loadBalancer;
  private LongConsumer revisionListener = revision -> {};
  private WatchConnection watch;

  /** Revision of the list in use; negative: none. */
  private long revision = -1;

  /** Whether discovery answers, but with events that cannot be parsed or exceed a limit. */
  private boolean isUnreadable;

  /** The cached list, until it is used or discovery has sent one; null afterwards, or if empty. */
  private JsonObjectReader cachedList;

  /**
   * A discovery whose watch is not open yet.
   *
   * @param connector by which the backends' pools connect
   * @param config names discovery's address, the zones and kinds, and the cached list
   * @param scope goes with each request for the list; empty: none
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
    pools = new BackendPoolTable(connector);
  }

  /** Sets the policy that is notified of the list; to be called before the watch is opened. */
  public void setLoadBalancer(LoadBalancer loadBalancer) {
    this.loadBalancer = loadBalancer;
    pools.setLoadBalancer(loadBalancer);
  }

  /** Sets the listener that is called with each revision once the policy uses it. */
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

  /** Number of listed backends beyond those that the policy knows at once; they get no requests. */
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

  /** Uses the cached list, if there is one and discovery has sent none. */
  public void useCachedList() {
    if (cachedList != null) {
      JsonObjectReader cached = cachedList;
      cachedList = null;
      apply(cached, true);
    }
  }

  /**
   * Opens a watch from the revision in use on, unless one is open. After a useful watch, the first
   * line is due sooner, so that a second silent watch is detected in time.
   */
  public void watchEndpoints() {
    if (watch != null && !watch.isClosed()) {
      return;
    }
    long firstLineTimeout =
        watch != null && watch.wasUseful()
            ? WatchConnection.FIRST_LINE_TIMEOUT
            : WatchConnection.SILENCE_TIMEOUT;
    try {
      watch =
          WatchConnection.open(
              loop,
              group,
              new WatchConnection.Target(address, PATH, revision, scope),
              firstLineTimeout,
              this::received,
              this::failed);
    } catch (IOException e) {
      failed(e.toString(), false, false);
    }
  }

  /** Sends this scope with requests from now on, and asks for the complete list of it. */
  public void changeScope(String newScope) {
    if (!newScope.equals(scope)) {
      scope = newScope;
      watchFromSnapshot();
    }
  }

  /**
   * Watches at this address from now on, beginning with the complete list, as the revisions there
   * may be a series of their own.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
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
   * A silent watch is replaced at once: its timeout was pause enough. Incident: discovery was
   * silent for longer than one watch timeout, and its changes already counted as notified while the
   * next watch was still held back for up to 1.5 s.
   */
  private void failed(String reason, boolean isSilent, boolean wasUseful) {
    EventLog.info("watch on the list", null, reason);
    isUnreadable = watch != null && watch.isUnreadable();
    if (isSilent) {
      watchEndpoints();
    } else {
      loadBalancer.endpointListFailed(wasUseful);
    }
  }

  private void received(String line) {
    try {
      JsonObjectReader event = new JsonObjectReader(Json.object(line));
      if (cachedList != null && needsCachedList(event)) {
        useCachedList();
      }
      cachedList = null;
      apply(event, false);
    } catch (IOException | InvalidConfigurationException e) {
      // The list is requested again.
      watch.failUnreadable("skipped news that can't be read: " + WatchConnection.firstLine(e));
    }
  }

  /** Whether an event changes the cached list, or is older and must bring nothing back in it. */
  private boolean needsCachedList(JsonObjectReader event) {
    return !event.flag("all") || event.wholeNumber("rev", -1) < cachedList.wholeNumber("rev", -1);
  }

  /**
   * Applies an event. Changes of an older revision are skipped: they could reinstate a drained
   * backend. A complete list of an older revision is applied, as its source may have restarted, but
   * reinstates none either.
   *
   * @param isCached whether it is the cached list
   */
  private void apply(JsonObjectReader eventFields, boolean isCached) {
    EndpointListParser.Event event = EndpointListParser.event(eventFields, revision);
    boolean isStale = event.revision() < revision;
    if (isStale) {
      EventLog.warning(
          "old news of the list", null, "revision " + event.revision() + " after " + revision);
      if (!event.isSnapshot()) {
        return;
      }
    }
    if (event.isSnapshot()) {
      Set<Object> ids = new HashSet<>();
      event.entries().forEach(entry -> ids.add(EndpointListParser.rawId(entry)));
      pools.removeAllExcept(ids);
    }
    applyEntries(event.entries(), isStale);
    revision = event.revision();
    isUnreadable = false;
    loadBalancer.endpointListUpdated(isCached);
    revisionListener.accept(revision);
  }

  private void applyEntries(List<JsonObjectReader> entries, boolean isStale) {
    pools.beginUpdate();
    int skippedCount = 0;
    String firstFault = null;
    for (JsonObjectReader entry : entries) {
      try {
        pools.apply(parser.entry(entry), isStale);
      } catch (InvalidConfigurationException e) {
        if (skippedCount == 0) {
          firstFault = e.getMessage();
        }
        skippedCount++;
      }
    }
    if (skippedCount > 0) { // one line, whatever the number of entries
      EventLog.warning(
          "skipped " + skippedCount + " of " + entries.size() + " entries of the list",
          null,
          firstFault);
    }
    pools.logChanges(entries.size());
  }
}
