package wheattrack.net;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wheattrack.Rules;
import wheattrack.aio.Loop;
import wheattrack.config.Settings;
import wheattrack.config.SettingsFeed;
import wheattrack.core.Counts;
import wheattrack.core.Counts.End;
import wheattrack.core.Slots;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.log.Event;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet;

/** The module's port on sockets: reqs, dispatches and the list; it decides nothing. */
final class Proxy implements Port, Front.Taker {
  /** What the module says of a srv: what happened, its number, why. */
  private static final Pattern SAID = Pattern.compile("(\\D+) (\\d+): (.*)");

  /** Of a req's time, kept back so that its answer is out before the client stops waiting. */
  private static final long WRITE_PART = 200;

  private static final long GUARD = 50;

  /** Of the response target: how long an answer of unknown length is kept back. */
  private static final long HOLD = 2;

  private final Loop loop;
  private final Listing listing;
  private final Counts counts;
  private Map<String, RuleSet> sets;
  private final Slots<Guest> guests = new Slots<>();
  private final Set<String> ids = new HashSet<>();
  private final Rules rules;
  private boolean reports;
  private final LoadReports loads;
  private long probeTimeout;
  private Front front;

  /** When this process ends: reqs that come late have their answer before. */
  private long until = Long.MAX_VALUE;

  Proxy(
      Loop loop, Listing listing, Counts counts, Settings settings, long seed, String loadHeader) {
    this.loop = loop;
    this.listing = listing;
    this.counts = counts;
    RuleSet[] all = settings.ruleSets();
    name(settings, all);
    rules = settings.rules(this, seed, all, true, Watch.ASK_EVERY_AT_MOST);
    loads = new LoadReports(rules, loadHeader);
    listing.tell(rules);
  }

  /**
   * Takes new settings into use, whole; reqs under way keep the rule set that they came under.
   * feed: what a watched source has told, which goes before their rule sets, tenants and limits;
   * null or empty: nothing.
   */
  void turnTo(Settings settings, SettingsFeed feed) {
    if (feed != null && feed.isThere()) {
      Settings held = feed.over(settings);
      held.parts(listing.zones(), feed.quota()).accept(rules, feed.summary());
      sets = feed.sets();
      further(held);
      return;
    }
    RuleSet[] all = settings.ruleSets();
    settings.parts(listing.zones()).accept(rules, all);
    name(settings, all);
  }

  private void name(Settings settings, RuleSet[] all) {
    sets = settings.byName(all);
    settings.names().forEach(counts::name); // in their order, which the figures keep
    further(settings);
  }

  private void further(Settings settings) {
    reports = settings.tellsLoad();
    probeTimeout = settings.time("limits.dialTimeout", 250_000);
  }

  void from(Front clients) {
    front = clients;
  }

  int open() {
    return guests.size();
  }

  /** Backends on the list that the module keeps away from now. */
  int avoided() {
    return rules.avoided();
  }

  /** Another process of this proxy is there, or is no more. */
  void beside(boolean other) {
    rules.beside(other);
  }

  // ---- reqs

  /** A request that is turned away unheard, as too many clients are here. */
  @Override
  public void denied(Request request) {
    String name = Wire.name(request);
    if (sets.containsKey(name)) {
      counts.ended(name, End.DENIED);
    }
  }

  @Override
  public void take(Client client, Request request) {
    Wire.Call call;
    try {
      call = Wire.call(request, sets);
      if (!ids.add(call.id())) { // bad clients: copies reached srvs
        throw new Wire.Unfit(409, "a req of this id is open");
      }
    } catch (Wire.Unfit e) {
      front.refused(e.status, e.getMessage());
      client.answer(Wire.plain(e.status, e.getMessage(), front.keeps(request.keep())));
      return;
    }
    Guest guest = new Guest(client, call);
    guest.slot = guests.add(guest);
    client.onLeft(() -> left(guest));
    long due = due(loop.now() + call.timeout() - Math.max(10, call.timeout() / WRITE_PART));
    if (request.more() != 0) {
      guest.body = new Body(client, () -> bodyWhole(guest));
    }
    guest.req = new Req(call.ruleSet(), 0, 0, loop.now(), due, call.cost(), call.again(), guest);
    if (guest.body == null) {
      guard(guest);
    }
    guest.held = rules.arrive(guest.req);
    if (guest.body != null && !guest.over) {
      guest.held.streams(0); // no copy can be made of it
    }
  }

  /** This process ends then: no req may wait for longer. */
  void endsAt(long time) {
    until = time;
  }

  private long due(long asked) {
    return Math.min(asked, until - 2 * GUARD);
  }

  private void guard(Guest guest) {
    guest.guard = loop.after(guest.req.due + GUARD - loop.now(), () -> forgotten(guest));
  }

  /** The last byte of a long body has come: the client's time runs from now on. */
  private void bodyWhole(Guest guest) {
    if (guest.over) {
      return;
    }
    guest.req.begins(loop.now());
    guest.req.due = due(guest.req.due);
    guard(guest);
    if (!guest.dispatches.isEmpty()) { // else its servers are still being asked for their load
      guest.dispatches.get(guest.dispatches.size() - 1).waits(guest.req.due - loop.now());
    }
  }

  /** Only a failure of the program leaves a req open past its due; even then it has its answer. */
  private void forgotten(Guest guest) {
    Event.log(Level.SEVERE, "a req stood open past its due", guest.call.id(), null);
    guest.dispatches.forEach(d -> d.giveUp(Outcome.TIMEOUT));
    if (!guest.over) {
      abort(guest.req);
    }
  }

  private void left(Guest guest) {
    if (!guest.over) {
      note(guest, "LEFT");
      settled(guest);
      guests.remove(guest.slot);
      if (guest.body != null && !guest.body.isWhole()) {
        guest.dispatches.forEach(d -> d.end(Outcome.MOOT, null)); // it never will be
      }
      forget(guest);
      if (guest.held != null) {
        guest.held.left();
      }
    }
  }

  /**
   * Its client has left. One sent again under its id on a new connection must not run beside it.
   */
  private void forget(Guest guest) {
    boolean again = guest.call.ruleSet().effect() == RuleSet.Effect.REPLAYABLE;
    if (!again && guest.dispatches.stream().anyMatch(Dispatch::mayRun)) {
      loop.after(guest.req.due - loop.now(), () -> ids.remove(guest.call.id()));
    } else {
      ids.remove(guest.call.id());
    }
  }

  private void close(Guest guest) {
    settled(guest);
    gone(guest);
  }

  private void gone(Guest guest) {
    guests.remove(guest.slot);
    ids.remove(guest.call.id());
  }

  private void settled(Guest guest) {
    guest.over = true;
    loop.cancel(guest.guard);
    guest.dispatches.stream().filter(d -> !d.isBegun()).forEach(d -> d.giveUp(Outcome.MOOT));
  }

  private void answer(Guest guest, End how, Response response) {
    close(guest);
    counts.ended(guest.call.name(), how);
    note(guest, how.name());
    guest.client.answer(response);
  }

  private void note(Guest guest, String end) {
    Event.detail(
        "req",
        guest.call.id(),
        () ->
            end
                + " after "
                + (loop.now() - guest.req.arrived) / 10
                + " ms, "
                + guest.dispatches.size()
                + " dispatches");
  }

  private boolean keeps(Guest guest) {
    return front.keeps(guest.call.request().keep());
  }

  /** One dispatch of a req; its outcome goes to the module as a step of its own. */
  private final class Leg extends Dispatch {
    private final Guest guest;
    private final long until;
    private final Result next;

    Leg(Guest guest, Backend backend, long until, Result next) {
      super(backend, loop.now());
      this.guest = guest;
      this.until = until;
      this.next = next;
    }

    @Override
    protected Request request() {
      return Wire.onward(guest.call.request(), until - loop.now());
    }

    @Override
    protected long holds() {
      return guest.req.arrived + guest.req.ruleSet.target() / HOLD - loop.now();
    }

    @Override
    protected Body body() {
      return guest.body;
    }

    @Override
    protected void written() {
      counts.dispatches++;
    }

    /**
     * Done by its first bytes, for the module and for the client's time; then it is only passed on.
     */
    @Override
    protected Passing begins(Response head) {
      loads.read(backend, head, false);
      if (guest.over) {
        loop.step(() -> next.ended(Outcome.DONE, loop.now() - sent, true));
        return null;
      }
      Response answer = Wire.done(head, keeps(guest), guest.call.request().chunks());
      Event.detail(
          "dispatch",
          guest.call.id(),
          () ->
              "to " + backend.id + " at " + sent + ", a long answer after " + (loop.now() - sent));
      Passing rest =
          new Passing(
              on,
              guest.client,
              answer.more(),
              whole -> {
                passed();
                gone(guest);
                counts.ended(guest.call.name(), whole ? End.DONE : End.ABORTED);
              });
      settled(guest);
      guest.client.begin(answer, rest);
      loop.step(() -> next.ended(Outcome.DONE, loop.now() - sent, true));
      return rest;
    }

    @Override
    protected void ended(Outcome how, Response answer) {
      Event.detail(
          "dispatch",
          guest.call.id(),
          () ->
              "to "
                  + backend.id
                  + " at "
                  + sent
                  + ", begun "
                  + (on == null ? "never" : "after " + (begun - sent))
                  + ", "
                  + how
                  + " after "
                  + (loop.now() - sent));
      if (how == Outcome.DONE && !guest.over) {
        answer(guest, End.DONE, Wire.done(answer, keeps(guest), guest.call.request().chunks()));
      }
      loads.read(backend, answer, false);
      boolean unfit = how == Outcome.ERROR && Wire.isUnfit(answer);
      if (unfit && !guest.over) { // bad clients: srvs were blamed for them
        answer(
            guest,
            End.ABORTED,
            Wire.plain(answer.status(), "not taken by the backend", keeps(guest)));
      }
      loop.step(() -> next.ended(unfit ? Outcome.MOOT : how, loop.now() - sent, guest.over));
    }
  }

  @Override
  public void dispatch(Req req, int backend, long tryFor, Result next) {
    Guest guest = (Guest) req.door;
    long wait = tryFor == 0 ? req.due - loop.now() : tryFor;
    Leg leg = new Leg(guest, listing.at(backend), loop.now() + wait, next);
    leg.latest = guest.body == null ? Math.min(req.due, latest(guest)) : latest(guest);
    guest.dispatches.add(leg);
    if (guest.body != null && !guest.body.isRepeatable()) {
      leg.backend.out++;
      leg.giveUp(Outcome.MOOT); // a part of its body is gone: it can't be sent whole
      return;
    }
    leg.waits(guest.body == null ? wait : Math.max(wait, Upstream.PAUSE));
    leg.backend.carry(leg);
  }

  /**
   * The module keeps to a uniqued req's window as it decides; a connection may take its time after.
   */
  private static long latest(Guest guest) {
    if (guest.req.ruleSet.effect() != RuleSet.Effect.UNIQUED) {
      return Long.MAX_VALUE;
    }
    return guest.dispatches.stream()
            .filter(Dispatch::isBegun)
            .mapToLong(d -> d.sent)
            .min()
            .orElse(Long.MAX_VALUE / 2)
        + guest.req.ruleSet.window();
  }

  @Override
  public void cancel(Req req, int leg) {
    ((Guest) req.door).dispatches.get(leg).giveUp(Outcome.CANCELLED);
  }

  @Override
  public void deny(Req req, long wait) {
    Guest guest = (Guest) req.door;
    answer(guest, End.DENIED, Wire.denied(wait, keeps(guest)));
  }

  @Override
  public void abort(Req req) {
    Guest guest = (Guest) req.door;
    answer(
        guest,
        End.ABORTED,
        Wire.plain(loop.now() >= req.due ? 504 : 502, "given up", keeps(guest)));
  }

  @Override
  public void probe(int backend, Heard next) {
    Dispatch probe =
        new Dispatch(listing.at(backend), loop.now()) {
          @Override
          protected Request request() {
            return Wire.probe(reports);
          }

          @Override
          protected void ended(Outcome how, Response answer) {
            loop.step(
                () -> {
                  loads.read(backend, answer, true);
                  next.ended(how == Outcome.DONE, loop.now() - sent);
                });
          }
        };
    probe.timeout = loop.after(probeTimeout, () -> probe.giveUp(Outcome.TIMEOUT));
    probe.backend.carry(probe);
  }

  @Override
  public void hangUp(int backend) {
    listing.at(backend).hangUp();
  }

  // ---- clock and log

  @Override
  public long now() {
    return loop.now();
  }

  @Override
  public void later(long delay, Runnable next) {
    loop.after(Math.max(1, delay), next); // one that asks for none still lets others have a turn
  }

  @Override
  public void log(String text) {
    Matcher said = SAID.matcher(text);
    if (said.matches()) {
      Event.info(said.group(1), said.group(2), said.group(3));
    } else {
      Event.info(text, null, null);
    }
  }

  @Override
  public void follow() {
    listing.follow();
  }

  @Override
  public void fetch() {
    listing.fetch();
  }
}
