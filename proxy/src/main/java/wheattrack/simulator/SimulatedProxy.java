package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.api.RequestHandle;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.core.BackendIndex;
import wheattrack.api.LoadBalancer;

/**
 * One instance at the door: turns its lines into calls and its answers into lines; ids live only
 * here.
 */
final class SimulatedProxy implements PolicyRuntime {
  /** A req at the door: its name, its dispatches' continuations and what the module left for it. */
  private static final class Guest {
    final String rid;
    final List<AttemptCallback> legs = new ArrayList<>(2);
    final List<Srv> where = new ArrayList<>(2);
    int out;
    boolean over;
    RequestHandle held;

    Guest(String rid) {
      this.rid = rid;
    }
  }

  /** A backend at the door, with what is out there. */
  private static final class Srv extends BackendIndex.Backend<Long> {
    int out;
    final List<ProbeCallback> probes = new ArrayList<>();

    Srv(Long id, int at) {
      super(id, at);
    }

    @Override
    protected boolean hasWorkInFlight() {
      return out > 0 || !probes.isEmpty();
    }
  }

  private final long instance;
  private final JsonGenerator out;
  private final Map<String, Guest> guests = new HashMap<>();
  private final BackendIndex<Long, Srv> fleet = new BackendIndex<>(Srv::new);
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long timer;
  private long now;
  private LoadBalancer rules;
  private RequestClass[] sets;

  SimulatedProxy(long instance, JsonGenerator out) {
    this.instance = instance;
    this.out = out;
  }

  /** The clock rounds up and each due rounds down, so that no limit is passed in between. */
  void at(long micros) {
    now = Math.floorDiv(micros + Settings.UNIT - 1, (long) Settings.UNIT);
  }

  void read(String kind, MessageFields line) throws IOException {
    try {
      turn(kind, line);
    } catch (RuntimeException e) {
      failed(kind, e);
    }
  }

  private void failed(String what, RuntimeException e) throws IOException {
    if (e instanceof UncheckedIOException io) {
      throw io.getCause();
    }
    StackTraceElement[] trace = e.getStackTrace();
    open("InternalError");
    out.writeStringField("msg", what + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    end();
  }

  private void turn(String kind, MessageFields line) throws IOException {
    switch (kind) {
      case "Configure" ->
          configure(
              line.number("seed"),
              new Settings(SimulatorAdapter.needed(line.settings, "settings")));
      case "Shutdown" -> forget();
      case "Arrival" -> arrival(line);
      case "ReportBack" -> report(line);
      case "First" -> {
        int leg = (int) line.number("leg");
        Guest guest = guests.get(line.text("rid"));
        if (guest != null && !guest.over) {
          guest.held.streamingStarted(leg);
        }
      }
      case "Expired" -> {
        Guest guest = guests.get(line.text("rid"));
        if (guest != null && !guest.over) {
          close(guest);
          guest.held.clientDisconnected();
        }
      }
      case "Due" -> {
        Runnable next = timers.remove(line.number("nonce"));
        if (next != null) {
          next.run();
        }
      }
      case "ProbeDone" -> probed(line);
      case "NeighbourSays" -> line.number("neighbour");
      default -> throw new SimulatorAdapter.BadInput("unknown event kind " + kind);
    }
  }

  private void forget() {
    guests.clear();
    fleet.clear();
    timers.clear();
    rules = null;
  }

  private void configure(long seed, Settings s) {
    forget();
    sets = PolicySettingsMapper.requestClasses(s);
    rules =
        LoadBalancerFactory.create(
            s, this, seed, sets, s.text("discovery", "").equals("subscribe"));
  }

  private void arrival(MessageFields line) throws SimulatorAdapter.BadInput {
    int profile = (int) line.number("profile");
    if (profile < 0 || sets == null || profile >= sets.length) {
      throw new SimulatorAdapter.BadInput("no such profile: " + profile);
    }
    if (line.has("targetKey")) {
      try {
        Long.parseUnsignedLong(line.text("targetKey"), 16);
      } catch (NumberFormatException e) {
        throw new SimulatorAdapter.BadInput("not a key: " + line.text("targetKey"));
      }
    }
    line.number("tenant", 0);
    Guest guest = new Guest(line.text("rid"));
    guests.put(guest.rid, guest);
    int cost = Settings.cost(line.number("sizeHint", 0));
    long due = Math.floorDiv(line.number("due"), (long) Settings.UNIT);
    PendingRequest req =
        new PendingRequest(sets[profile], now, due, cost, line.number("resent", 0) != 0, guest);
    guest.held = rules.accept(req);
  }

  private void report(MessageFields line) throws SimulatorAdapter.BadInput {
    Guest guest = guests.get(line.text("rid"));
    int leg = (int) line.number("leg");
    AttemptOutcome how = outcome((int) line.number("status"));
    long lag = line.number("lag") / Settings.UNIT;
    boolean ended = line.number("ended", 0) != 0;
    if (guest == null || leg < 0 || leg >= guest.legs.size() || guest.legs.get(leg) == null) {
      return;
    }
    AttemptCallback next = guest.legs.set(leg, null);
    guest.where.get(leg).out--;
    guest.out--;
    if (ended) {
      guest.over = true;
    }
    if (guest.over && guest.out == 0) {
      guests.remove(guest.rid);
    }
    load(fleet.find(line.number("backend")), line);
    next.ended(how, lag, ended);
  }

  private static AttemptOutcome outcome(int status) throws SimulatorAdapter.BadInput {
    return switch (status) {
      case 0 -> AttemptOutcome.DONE;
      case 255 -> AttemptOutcome.ERROR;
      case 254 -> AttemptOutcome.FULL;
      case 253 -> AttemptOutcome.TIMEOUT;
      case 252 -> AttemptOutcome.NO_CONNECT;
      case 251 -> AttemptOutcome.RESET;
      case 250 -> AttemptOutcome.CANCELLED;
      case 249 -> AttemptOutcome.DISCARDED;
      default -> throw new SimulatorAdapter.BadInput("unknown status " + status);
    };
  }

  private void load(Srv srv, MessageFields line) {
    if (srv != null && line.feedback != null) {
      Settings figures = new Settings(line.feedback);
      rules.onLoadReport(
          srv.index,
          figures.number(Settings.IN_FLIGHT_FIELD, -1),
          figures.number(Settings.QUEUED_FIELD, 0));
    }
  }

  private void probed(MessageFields line) throws SimulatorAdapter.BadInput {
    Srv srv = fleet.find(line.number("backend"));
    boolean ok = line.number("status") == 0;
    long lag = line.number("lag") / Settings.UNIT;
    if (srv == null || srv.probes.isEmpty()) {
      return;
    }
    load(srv, line);
    srv.probes.remove(0).ended(ok, lag);
  }

  void list(String mode, List<?> records) throws IOException {
    try {
      if (rules == null) {
        return;
      }
      if (mode.equals("X")) {
        rules.endpointListFailed(false);
        return;
      }
      if (!mode.equals("D") && !mode.equals("F") && !mode.equals("C")) {
        throw new SimulatorAdapter.BadInput("unknown list mode " + mode);
      }
      if (!mode.equals("D")) {
        missing(records);
      }
      for (Object record : records) {
        entry(record);
      }
      rules.endpointListUpdated(mode.equals("C"));
    } catch (RuntimeException e) {
      failed("PeersKnown", e);
    }
  }

  private void missing(List<?> records) throws SimulatorAdapter.BadInput {
    Set<Long> named = new HashSet<>();
    for (Object record : records) {
      named.add(id(record));
    }
    for (Srv srv : fleet.listedExcept(named)) {
      gone(srv);
    }
  }

  private void gone(Srv srv) {
    if (fleet.markUnlisted(srv)) {
      rules.removeBackend(srv.index);
    }
  }

  private static long id(Object record) throws SimulatorAdapter.BadInput {
    if (record instanceof Map<?, ?> map && map.get("backend") instanceof Number n) {
      return n.longValue();
    }
    throw new SimulatorAdapter.BadInput("missing field backend");
  }

  @SuppressWarnings("unchecked")
  private void entry(Object record) throws SimulatorAdapter.BadInput {
    long id = id(record);
    Settings r = new Settings((Map<String, Object>) record);
    String readiness = r.text("readiness", "healthy");
    if (readiness.equals("deregistered")) {
      gone(fleet.find(id));
      return;
    }
    Srv srv = fleet.getOrAdd(id);
    boolean fresh = fleet.markListed(srv);
    long up = (long) r.number("upSince", 0);
    double weight = r.number("weight", 1);
    rules.updateBackend(
        new EndpointUpdate(
            srv.index,
            id,
            readiness.equals("healthy"),
            r.integer("rackZone", 0),
            r.integer("pack", 0),
            r.integer("familyType", 0),
            weight,
            up <= 0 ? BackendIndex.LONG_AGO : Math.floorDiv(up, (long) Settings.UNIT),
            fresh));
  }

  private void close(Guest guest) {
    guest.over = true;
    if (guest.out == 0) {
      guests.remove(guest.rid);
    }
  }

  private void open(String kind) throws IOException {
    out.writeStartObject();
    out.writeStringField("kind", kind);
    out.writeNumberField("proxyId", instance);
  }

  private void end() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  /** One line out: a kind, at most a rid, and up to two numbers. */
  private void write(String kind, Guest guest, String name, long value, String name2, long value2) {
    try {
      open(kind);
      if (guest != null) {
        out.writeStringField("rid", guest.rid);
      }
      if (name != null) {
        out.writeNumberField(name, value);
      }
      if (name2 != null) {
        out.writeNumberField(name2, value2);
      }
      end();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(PendingRequest req, int backend, long tryFor, AttemptCallback next) {
    Guest guest = (Guest) req.attachment();
    Srv srv = fleet.get(backend);
    guest.legs.add(next);
    guest.where.add(srv);
    guest.out++;
    srv.out++;
    write("Place", guest, "backend", srv.id, "tryFor", tryFor * Settings.UNIT);
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    write("UndoSend", (Guest) req.attachment(), "leg", leg, null, 0);
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    close((Guest) req.attachment());
    write("Deny", (Guest) req.attachment(), "wait", wait * Settings.UNIT, null, 0);
  }

  @Override
  public void fail(PendingRequest req) {
    close((Guest) req.attachment());
    write("Error", (Guest) req.attachment(), null, 0, null, 0);
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    Srv srv = fleet.get(backend);
    srv.probes.add(next);
    write("AskLoad", null, "backend", srv.id, null, 0);
  }

  @Override
  public void closeIdleConnections(int backend) {
    Srv srv = fleet.get(backend);
    if (srv != null) {
      write("HangUp", null, "backend", srv.id, null, 0);
    }
  }

  @Override
  public void schedule(long delay, Runnable next) {
    timers.put(++timer, next);
    write("Schedule", null, "delay", delay * Settings.UNIT, "nonce", timer);
  }

  @Override
  public void watchEndpoints() {
    try {
      open("Subscribe");
      out.writeBooleanField("on", true);
      end();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void report(PolicyEvent event) {
    try {
      open("SayLog");
      out.writeStringField("msg", event.text());
      end();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
