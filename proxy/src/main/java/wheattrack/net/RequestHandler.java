package wheattrack.net;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import wheattrack.aio.EventLoop;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.Idempotency;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.config.DynamicSettings;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.core.RequestCounters;
import wheattrack.core.RequestCounters.FinalAnswer;
import wheattrack.core.SlotTable;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.log.EventLog;
import wheattrack.policy.LoadBalancer;

/** The module's port on sockets: reqs, dispatches and the list; it decides nothing. */
final class RequestHandler implements PolicyRuntime, ClientListener.Taker {

  /** Of a req's time, kept back so that its answer is out before the client stops waiting. */
  private static final long WRITE_PART = 200;

  private static final long GUARD = 50;

  /** Of the response target: how long an answer of unknown length is kept back. */
  private static final long HOLD = 2;

  private final EventLoop loop;
  private final EndpointDiscovery listing;
  private final RequestCounters counts;
  private Map<String, RequestClass> sets;
  private final SlotTable<InFlightRequest> guests = new SlotTable<>();
  private final Set<String> ids = new HashSet<>();
  private final LoadBalancer rules;
  private boolean reports;
  private final LoadReports loads;
  private long probeTimeout;
  private ClientListener front;

  /** When this process ends: reqs that come late have their answer before. */
  private long until = Long.MAX_VALUE;

  RequestHandler(
      EventLoop loop,
      EndpointDiscovery listing,
      RequestCounters counts,
      Settings settings,
      long seed,
      String loadHeader) {
    this.loop = loop;
    this.listing = listing;
    this.counts = counts;
    RequestClass[] all = PolicySettingsMapper.requestClasses(settings);
    name(settings, all);
    rules =
        LoadBalancerFactory.create(
            settings, this, seed, all, true, WatchConnection.ASK_EVERY_AT_MOST);
    loads = new LoadReports(rules, loadHeader);
    listing.tell(rules);
  }

  /**
   * Takes new settings into use, whole; reqs under way keep the rule set that they came under.
   * feed: what a watched source has told, which goes before their rule sets, tenants and limits;
   * null or empty: nothing.
   */
  void turnTo(Settings settings, DynamicSettings feed) {
    if (feed != null && feed.isPresent()) {
      Settings held = feed.overlay(settings);
      rules.configure(
          PolicySettingsMapper.policySettings(held, listing.zones(), feed.totalQuota()),
          feed.summary());
      sets = feed.requestClasses();
      further(held);
      return;
    }
    RequestClass[] all = PolicySettingsMapper.requestClasses(settings);
    rules.configure(PolicySettingsMapper.policySettings(settings, listing.zones()), all);
    name(settings, all);
  }

  private void name(Settings settings, RequestClass[] all) {
    sets = PolicySettingsMapper.classesByName(settings, all);
    PolicySettingsMapper.classNames(settings)
        .forEach(counts::declare); // in their order, which the figures keep
    further(settings);
  }

  private void further(Settings settings) {
    reports = PolicySettingsMapper.expectsLoadReports(settings);
    probeTimeout = settings.time("limits.dialTimeout", 250_000);
  }

  void from(ClientListener clients) {
    front = clients;
  }

  int open() {
    return guests.size();
  }

  /** Backends on the list that the module keeps away from now. */
  int avoided() {
    return rules.ejectedCount();
  }

  /** Another process of this proxy is there, or is no more. */
  void beside(boolean other) {
    rules.setOtherProcessPresent(other);
  }

  // ---- reqs

  /** A request that is turned away unheard, as too many clients are here. */
  @Override
  public void denied(Request request) {
    String name = ProtocolMapping.name(request);
    if (sets.containsKey(name)) {
      counts.countAnswer(name, FinalAnswer.REJECTED);
    }
  }

  @Override
  public void take(ClientConnection client, Request request) {
    ProtocolMapping.Call call;
    try {
      call = ProtocolMapping.call(request, sets);
      if (!ids.add(call.id())) { // bad clients: copies reached srvs
        throw new ProtocolMapping.Unfit(409, "a req of this id is open");
      }
    } catch (ProtocolMapping.Unfit e) {
      front.refused(e.status, e.getMessage());
      client.answer(
          ProtocolMapping.plain(e.status, e.getMessage(), front.keeps(request.keepAlive())));
      return;
    }
    InFlightRequest guest = new InFlightRequest(client, call);
    guest.slot = guests.add(guest);
    client.onLeft(() -> left(guest));
    long due = due(loop.now() + call.timeout() - Math.max(10, call.timeout() / WRITE_PART));
    if (request.remainingBody() != 0) {
      guest.body = new RequestBodyRelay(client, () -> bodyWhole(guest));
    }
    guest.req =
        new PendingRequest(call.ruleSet(), loop.now(), due, call.cost(), call.again(), guest);
    if (guest.body == null) {
      guard(guest);
    }
    guest.held = rules.accept(guest.req);
    if (guest.body != null && !guest.over) {
      guest.held.streamingStarted(0); // no copy can be made of it
    }
  }

  /** This process ends then: no req may wait for longer. */
  void endsAt(long time) {
    until = time;
  }

  private long due(long asked) {
    return Math.min(asked, until - 2 * GUARD);
  }

  private void guard(InFlightRequest guest) {
    guest.guard = loop.schedule(guest.req.deadline() + GUARD - loop.now(), () -> forgotten(guest));
  }

  /** The last byte of a long body has come: the client's time runs from now on. */
  private void bodyWhole(InFlightRequest guest) {
    if (guest.over) {
      return;
    }
    guest.req.restartClock(loop.now(), until - 2 * GUARD);
    guard(guest);
    if (!guest.dispatches.isEmpty()) { // else its servers are still being asked for their load
      guest.dispatches.get(guest.dispatches.size() - 1).waits(guest.req.deadline() - loop.now());
    }
  }

  /** Only a failure of the program leaves a req open past its due; even then it has its answer. */
  private void forgotten(InFlightRequest guest) {
    EventLog.log(Level.SEVERE, "a req stood open past its due", guest.call.id(), null);
    guest.dispatches.forEach(d -> d.giveUp(AttemptOutcome.TIMEOUT));
    if (!guest.over) {
      fail(guest.req);
    }
  }

  private void left(InFlightRequest guest) {
    if (!guest.over) {
      note(guest, "LEFT");
      settled(guest);
      guests.remove(guest.slot);
      if (guest.body != null && !guest.body.isWhole()) {
        guest.dispatches.forEach(d -> d.end(AttemptOutcome.DISCARDED, null)); // it never will be
      }
      forget(guest);
      if (guest.held != null) {
        guest.held.clientDisconnected();
      }
    }
  }

  /**
   * Its client has left. One sent again under its id on a new connection must not run beside it.
   */
  private void forget(InFlightRequest guest) {
    boolean again = guest.call.ruleSet().idempotency() == Idempotency.IDEMPOTENT;
    if (!again && guest.dispatches.stream().anyMatch(BackendAttempt::mayRun)) {
      loop.schedule(guest.req.deadline() - loop.now(), () -> ids.remove(guest.call.id()));
    } else {
      ids.remove(guest.call.id());
    }
  }

  private void close(InFlightRequest guest) {
    settled(guest);
    gone(guest);
  }

  private void gone(InFlightRequest guest) {
    guests.remove(guest.slot);
    ids.remove(guest.call.id());
  }

  private void settled(InFlightRequest guest) {
    guest.over = true;
    loop.cancel(guest.guard);
    guest.dispatches.stream()
        .filter(d -> !d.isBegun())
        .forEach(d -> d.giveUp(AttemptOutcome.DISCARDED));
  }

  private void answer(InFlightRequest guest, FinalAnswer how, Response response) {
    close(guest);
    counts.countAnswer(guest.call.name(), how);
    note(guest, how.name());
    guest.client.answer(response);
  }

  private void note(InFlightRequest guest, String end) {
    EventLog.detail(
        "req",
        guest.call.id(),
        () ->
            end
                + " after "
                + (loop.now() - guest.req.arrivedAt()) / 10
                + " ms, "
                + guest.dispatches.size()
                + " dispatches");
  }

  private boolean keeps(InFlightRequest guest) {
    return front.keeps(guest.call.request().keepAlive());
  }

  /** One dispatch of a req; its outcome goes to the module as a step of its own. */
  private final class Leg extends BackendAttempt {
    private final InFlightRequest guest;
    private final long until;
    private final AttemptCallback next;

    Leg(InFlightRequest guest, BackendConnectionPool backend, long until, AttemptCallback next) {
      super(backend, loop.now());
      this.guest = guest;
      this.until = until;
      this.next = next;
    }

    @Override
    protected Request request() {
      return ProtocolMapping.onward(guest.call.request(), until - loop.now());
    }

    @Override
    protected long holds() {
      return guest.req.arrivedAt()
          + guest.req.requestClass().latencyObjective() / HOLD
          - loop.now();
    }

    @Override
    protected RequestBodyRelay body() {
      return guest.body;
    }

    @Override
    protected void written() {
      counts.attempts++;
    }

    /**
     * Done by its first bytes, for the module and for the client's time; then it is only passed on.
     */
    @Override
    protected ResponseRelay begins(Response head) {
      loads.read(backend, head, false);
      if (guest.over) {
        loop.defer(() -> next.ended(AttemptOutcome.DONE, loop.now() - sent, true));
        return null;
      }
      Response answer = ProtocolMapping.done(head, keeps(guest), guest.call.request().chunks());
      EventLog.detail(
          "dispatch",
          guest.call.id(),
          () ->
              "to " + backend.id + " at " + sent + ", a long answer after " + (loop.now() - sent));
      ResponseRelay rest =
          new ResponseRelay(
              on,
              guest.client,
              answer.remainingBody(),
              whole -> {
                passed();
                gone(guest);
                counts.countAnswer(
                    guest.call.name(), whole ? FinalAnswer.DONE : FinalAnswer.FAILED);
              });
      settled(guest);
      guest.client.begin(answer, rest);
      loop.defer(() -> next.ended(AttemptOutcome.DONE, loop.now() - sent, true));
      return rest;
    }

    @Override
    protected void ended(AttemptOutcome how, Response answer) {
      EventLog.detail(
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
      if (how == AttemptOutcome.DONE && !guest.over) {
        answer(
            guest,
            FinalAnswer.DONE,
            ProtocolMapping.done(answer, keeps(guest), guest.call.request().chunks()));
      }
      loads.read(backend, answer, false);
      boolean unfit = how == AttemptOutcome.ERROR && ProtocolMapping.isUnfit(answer);
      if (unfit && !guest.over) { // bad clients: srvs were blamed for them
        answer(
            guest,
            FinalAnswer.FAILED,
            ProtocolMapping.plain(answer.status(), "not taken by the backend", keeps(guest)));
      }
      loop.defer(
          () -> next.ended(unfit ? AttemptOutcome.DISCARDED : how, loop.now() - sent, guest.over));
    }
  }

  @Override
  public void sendAttempt(PendingRequest req, int backend, long tryFor, AttemptCallback next) {
    InFlightRequest guest = (InFlightRequest) req.attachment();
    long wait = tryFor == 0 ? req.deadline() - loop.now() : tryFor;
    Leg leg = new Leg(guest, listing.at(backend), loop.now() + wait, next);
    leg.latest = guest.body == null ? Math.min(req.deadline(), latest(guest)) : latest(guest);
    guest.dispatches.add(leg);
    if (guest.body != null && !guest.body.isRepeatable()) {
      leg.backend.out++;
      leg.giveUp(AttemptOutcome.DISCARDED); // a part of its body is gone: it can't be sent whole
      return;
    }
    leg.waits(guest.body == null ? wait : Math.max(wait, BackendConnection.PAUSE));
    leg.backend.carry(leg);
  }

  /**
   * The module keeps to a uniqued req's window as it decides; a connection may take its time after.
   */
  private static long latest(InFlightRequest guest) {
    if (guest.req.requestClass().idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
      return Long.MAX_VALUE;
    }
    return guest.dispatches.stream()
            .filter(BackendAttempt::isBegun)
            .mapToLong(d -> d.sent)
            .min()
            .orElse(Long.MAX_VALUE / 2)
        + guest.req.requestClass().deduplicationWindow();
  }

  @Override
  public void cancelAttempt(PendingRequest req, int leg) {
    ((InFlightRequest) req.attachment()).dispatches.get(leg).giveUp(AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(PendingRequest req, long wait) {
    InFlightRequest guest = (InFlightRequest) req.attachment();
    answer(guest, FinalAnswer.REJECTED, ProtocolMapping.denied(wait, keeps(guest)));
  }

  @Override
  public void fail(PendingRequest req) {
    InFlightRequest guest = (InFlightRequest) req.attachment();
    answer(
        guest,
        FinalAnswer.FAILED,
        ProtocolMapping.plain(loop.now() >= req.deadline() ? 504 : 502, "given up", keeps(guest)));
  }

  @Override
  public void probeLoad(int backend, ProbeCallback next) {
    BackendAttempt probe =
        new BackendAttempt(listing.at(backend), loop.now()) {
          @Override
          protected Request request() {
            return ProtocolMapping.probe(reports);
          }

          @Override
          protected void ended(AttemptOutcome how, Response answer) {
            loop.defer(
                () -> {
                  loads.read(backend, answer, true);
                  next.ended(how == AttemptOutcome.DONE, loop.now() - sent);
                });
          }
        };
    probe.timeout = loop.schedule(probeTimeout, () -> probe.giveUp(AttemptOutcome.TIMEOUT));
    probe.backend.carry(probe);
  }

  @Override
  public void closeIdleConnections(int backend) {
    listing.at(backend).hangUp();
  }

  // ---- clock and log

  @Override
  public long now() {
    return loop.now();
  }

  @Override
  public void schedule(long delay, Runnable next) {
    loop.schedule(Math.max(1, delay), next); // one that asks for none still lets others have a turn
  }

  @Override
  public void report(PolicyEvent event) {
    EventLog.info(event.kind().logWord(), Long.toString(event.subject()), event.detail());
  }

  @Override
  public void watchEndpoints() {
    listing.watchEndpoints();
  }
}
