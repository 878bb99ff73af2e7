package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import wheattrack.aio.EventLoop;
import wheattrack.api.EndpointUpdate;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.Settings;
import wheattrack.config.SocketAddressParser;
import wheattrack.core.BackendIndex;
import wheattrack.log.EventLog;
import wheattrack.policy.LoadBalancer;

/**
 * The list of backends on the wire: the watch on it, and its entries turned into calls on the
 * module.
 */
final class EndpointDiscovery {
  private static final String PATH = "/v1/endpoints";
  private static final Pattern NUMBER = Pattern.compile("[0-9a-f]{1,15}");

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private InetSocketAddress discovery;
  private final List<?> zones;
  private final List<?> kinds;
  private final BackendIndex<String, BackendConnectionPool> fleet;
  private LoadBalancer rules;
  private WatchConnection watch;
  private final List<String> met = new ArrayList<>();
  private int beyond;
  private String scope;
  private long version = -1;
  private boolean unread;
  private LongConsumer inForce = rev -> {};

  /** The list known of old, until it is used or one has come from discovery. */
  private Settings known;

  /**
   * known: the list known of old, or one without entries. advice: a server that the list drops
   * without having drained may still be sent to.
   */
  EndpointDiscovery(
      EventLoop loop,
      AsynchronousChannelGroup group,
      Connector dialler,
      InetSocketAddress discovery,
      List<?> zones,
      List<?> kinds,
      Settings known,
      String scope) {
    this.scope = scope;
    this.loop = loop;
    this.group = group;
    this.discovery = discovery;
    this.zones = zones;
    this.kinds = kinds;
    this.known = known.has("targets") ? known : null;
    fleet = new BackendIndex<>((id, at) -> new BackendConnectionPool(id, at, dialler));
  }

  /** Who hears of the list; to be called before anything is told. */
  void tell(LoadBalancer module) {
    rules = module;
  }

  /** Who hears of each revision once the module acts on it. */
  void onForce(LongConsumer then) {
    inForce = then;
  }

  /** The names of zones; entries go by their places. */
  List<?> zones() {
    return zones;
  }

  BackendConnectionPool at(int index) {
    return fleet.get(index);
  }

  int listed() {
    return fleet.listedCount();
  }

  /** Whether a list is there to serve by. */
  boolean isThere() {
    return version >= 0;
  }

  /** Discovery answers, and what it tells can't be read or is over a bound. */
  boolean isUnread() {
    return unread;
  }

  /** Listed backends beyond those that the module knows at once: nothing is sent to them. */
  int leftOut() {
    return fleet.listedCountFrom(LoadBalancer.MAX_BACKENDS);
  }

  /** Discovery says nothing: the list known of old has to do, if there is one. */
  void fallBack() {
    if (known != null) {
      Settings old = known;
      known = null;
      list(old, true);
    }
  }

  /**
   * Watches from the version on that is known, unless a watch is open. After one that has said
   * something the first word has to come sooner, so that one more silent one is noticed in time.
   */
  void watchEndpoints() {
    if (watch != null && !watch.isClosed()) {
      return;
    }
    long patience =
        watch != null && watch.hasSpoken() ? WatchConnection.FIRST : WatchConnection.SILENCE;
    try {
      watch =
          WatchConnection.open(
              loop,
              group,
              new WatchConnection.Target(discovery, PATH, version, scope),
              patience,
              this::told,
              this::failed);
    } catch (IOException e) {
      failed(e.toString(), false, false);
    }
  }

  /** Watches anew, from the whole list on. */
  void fetch() {
    if (watch != null) {
      watch.close();
    }
    version = -1;
    watchEndpoints();
  }

  /** Another scope goes with its requests from now on; the whole list of it is asked for. */
  void turnTo(String otherScope) {
    if (!otherScope.equals(scope)) {
      scope = otherScope;
      fetch();
    }
  }

  /**
   * Watches at another address from now on; the whole list, as the versions there may be its own.
   */
  void moveTo(InetSocketAddress to) {
    if (!to.equals(discovery)) {
      discovery = to;
      fetch();
    }
  }

  /**
   * Discovery was down, silent, longer than one watch lasts: what it had to tell at its return
   * counted as told while the next watch was still held back for up to 1.5 s. One that was silent
   * has taken its time.
   */
  private void failed(String why, boolean silent, boolean spoke) {
    EventLog.info("watch on the list", null, why);
    unread = watch != null && watch.isUnread();
    if (silent) {
      watchEndpoints();
    } else {
      rules.endpointListFailed(spoke);
    }
  }

  private void told(String line) {
    try {
      Settings news = new Settings(Json.object(line));
      if (known != null
          && (!news.flag("all") || news.wholeNumber("rev", -1) < known.wholeNumber("rev", -1))) {
        fallBack(); // what it changes, or what it must bring nothing back to
      }
      known = null;
      list(news, false);
    } catch (IOException | InvalidConfigurationException e) {
      String fault = String.valueOf(e.getMessage()).split("\n")[0];
      watch.unreadable("skipped news that can't be read: " + fault); // and asked for again
    }
  }

  /**
   * saved: it is the list known of old. Changes of an old revision are skipped: they could bring a
   * drained srv back. A whole list of one is taken, as its source may have begun anew, but brings
   * none back either.
   */
  void list(Settings news, boolean saved) {
    List<Settings> entries = news.sections("targets");
    long rev = news.wholeNumber("rev", version);
    boolean old = rev < version;
    boolean all = news.flag("all");
    if (old) {
      EventLog.warning("old news of the list", null, "revision " + rev + " after " + version);
    }
    if (old && !all) {
      return;
    }
    if (all) {
      Set<Object> named = new HashSet<>();
      entries.forEach(entry -> named.add(entry.any("uid")));
      fleet.listedExcept(named).forEach(this::gone);
    }
    met.clear();
    beyond = 0;
    int skipped = 0;
    String why = null;
    for (Settings entry : entries) {
      try {
        entry(entry, old);
      } catch (InvalidConfigurationException e) {
        why = skipped++ == 0 ? e.getMessage() : why;
      }
    }
    if (skipped > 0) { // one line, whatever the size of the fleet
      EventLog.warning(
          "skipped " + skipped + " of " + entries.size() + " entries of the list", null, why);
    }
    if (!met.isEmpty()) { // one line too: at a start a line each took 2 ms
      EventLog.info("met srv", null, String.join(", ", met));
    }
    if (beyond > 0) {
      EventLog.warning(
          "left out " + beyond + " of " + entries.size() + " entries of the list",
          null,
          LoadBalancer.MAX_BACKENDS + " backends are known at most");
    }
    version = rev;
    unread = false;
    rules.endpointListUpdated(saved);
    inForce.accept(version);
  }

  private void gone(BackendConnectionPool backend) {
    if (fleet.markUnlisted(backend)) {
      EventLog.detail("srv", Long.toString(number(backend.id)), () -> backend.id + " gone");
      rules.removeBackend(backend.index);
      backend.leaves();
    }
  }

  private void entry(Settings e, boolean old) {
    String id = e.text("uid");
    String state = e.text("state");
    if (state.equals("DELETED")) {
      gone(fleet.find(id));
      return;
    }
    if (!state.equals("SERVING") && !state.equals("DRAINING")) {
      throw new InvalidConfigurationException("state", "unknown: " + state);
    }
    InetSocketAddress address = SocketAddressParser.parse("endpoint", e.text("endpoint"));
    long up = (long) (e.number("boot_ms", 0) * 10);
    int zone = zones.indexOf(e.text("az", ""));
    int kind = Math.max(0, kinds.indexOf(e.text("model", "")));
    int pack = e.integer("pod_group", 0);
    double weight = e.number("capacity_hint", 1);
    BackendConnectionPool known = fleet.find(id);
    boolean left = old && known != null && known.hasLeft(up);
    BackendConnectionPool backend = fleet.getOrAdd(id);
    boolean fresh = fleet.markListed(backend);
    if (fresh) {
      met.add(number(id) + ": " + id + " at " + e.text("endpoint"));
    }
    boolean ready = state.equals("SERVING") && !left;
    EventLog.detail("srv", Long.toString(number(id)), () -> id + " " + state + ", up since " + up);
    if (backend.index >= LoadBalancer.MAX_BACKENDS) {
      beyond++;
      return;
    }
    rules.updateBackend(
        new EndpointUpdate(
            backend.index,
            number(id),
            ready,
            zone,
            pack,
            kind,
            weight,
            up <= 0 ? BackendIndex.LONG_AGO : up,
            fresh));
    backend.serves(address, up);
    if (!ready) {
      backend.leaves();
    }
  }

  /**
   * A number for the id, the same at every proxy: the module orders srvs by it and names them so.
   */
  static long number(String id) {
    String tail = id.substring(id.lastIndexOf('-') + 1);
    if (NUMBER.matcher(tail).matches()) {
      return Long.parseLong(tail, 16);
    }
    CRC32 crc = new CRC32();
    crc.update(id.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }
}
