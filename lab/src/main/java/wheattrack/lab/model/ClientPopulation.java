package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.List;
import wheattrack.api.Idempotency;
import wheattrack.lab.load.ArrivalProcess;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.load.RequestGenerator;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Clients;

/**
 * The clients, and the front load balancer that distributes their requests over the proxies of
 * their zone; the same for virtual and real time. Times are tenths of a millisecond from the start
 * of the run. Runs on the run's thread only.
 */
public final class ClientPopulation {
  private final RunEnvironment environment;
  private final RandomStream random;
  private final RequestGenerator requestGenerator;
  private final ArrivalProcess arrivals;
  private final Clients behaviour;

  /** For each zone, the proxies that the front load balancer sends requests to. */
  private final List<List<ProxyHandle>> proxiesByZone = new ArrayList<>();

  private long operationCount;
  private long requestCount;

  ClientPopulation(RunEnvironment environment) {
    this.environment = environment;
    Scenario scenario = environment.scenario();
    random = environment.randomStream("clients");
    requestGenerator = new RequestGenerator(scenario, environment.randomStream("wants"));
    arrivals = new ArrivalProcess(scenario.load(), environment.randomStream("arrivals"));
    behaviour = scenario.clients();
    for (int zone = 0; zone < scenario.zoneCount(); zone++) {
      proxiesByZone.add(new ArrayList<>());
    }
  }

  RequestGenerator requestGenerator() {
    return requestGenerator;
  }

  ArrivalProcess arrivals() {
    return arrivals;
  }

  /** Makes the front load balancer use a proxy, or stop using it. */
  public void setProxyAvailable(ProxyHandle proxy, boolean available) {
    List<ProxyHandle> proxies = proxiesByZone.get(proxy.zone());
    proxies.remove(proxy);
    if (available) {
      proxies.add(proxy);
    }
  }

  /**
   * Schedules the start of the next operation, which then schedules the one after it; none starts
   * at or after the end of the scenario's duration.
   */
  public void scheduleNextArrival() {
    double arrival = arrivals.nextArrival();
    if (arrival < environment.scenario().duration()) {
      environment.schedule((long) arrival - environment.now(), () -> startOperation(arrival));
    }
  }

  private void startOperation(double arrival) {
    environment.arrivalStarted(arrival);
    ClientOperation operation =
        new ClientOperation(
            ++operationCount,
            (long) arrival,
            requestGenerator.next(),
            random.nextInt(proxiesByZone.size()));
    environment.record(
        LedgerRecord.operationStarted(
            operation.startedAt(),
            operation.id(),
            operation.requestClass().index(),
            operation.plan().weight()));
    sendRequest(operation);
    scheduleNextArrival();
  }

  /**
   * Draws an available proxy of the zone or, if it has none, of the next zone that has one; null if
   * no proxy is available.
   */
  private ProxyHandle pickProxy(int zone) {
    for (int offset = 0; offset < proxiesByZone.size(); offset++) {
      List<ProxyHandle> available = proxiesByZone.get((zone + offset) % proxiesByZone.size());
      if (!available.isEmpty()) {
        return available.get(random.nextInt(available.size()));
      }
    }
    return null;
  }

  private void sendRequest(ClientOperation operation) {
    operation.countAttempt();
    ProxyHandle proxy = pickProxy(operation.zone());
    if (proxy == null) {
      scheduleRetry(operation, 0);
      return;
    }
    long timeout = operation.requestClass().clientTimeout();
    ClientRequest request =
        new ClientRequest(
            ++requestCount,
            operation.plan(),
            environment.now() + timeout,
            operation.attempts() > 1,
            operation,
            proxy.index());
    operation.waitFor(request);
    proxy.submit(request);
    if (random.nextBoolean(behaviour.impatientShare())) {
      long disconnectDelay = (long) (random.nextDouble() * timeout);
      environment.schedule(disconnectDelay, () -> disconnect(operation, request, proxy));
    }
  }

  private void disconnect(ClientOperation operation, ClientRequest request, ProxyHandle proxy) {
    if (request.isOpen()) {
      operation.disconnect();
      environment.record(LedgerRecord.clientDisconnected(environment.now(), request.requestId()));
      proxy.clientDisconnected(request);
    }
  }

  /** A request reached no proxy: its connection could not be opened. */
  public void connectionRefused(ClientRequest request) {
    if (request.isOpen()) {
      request.operation().stopWaiting();
      scheduleRetry(request.operation(), 0);
    }
  }

  /**
   * A client has received a final answer, or its connection ended without an answer.
   *
   * @param retryAfter the Retry-After time of the answer, 0 for none
   */
  public void answered(ClientRequest request, Answer answer, long retryAfter) {
    ClientOperation operation = request.operation();
    if (operation.isDisconnected()) {
      return;
    }
    environment.record(LedgerRecord.answered(environment.now(), request.requestId(), answer));
    if (!request.isOpen()) {
      return; // a second answer: the ledger entry above is all that the referee needs
    }
    operation.stopWaiting();
    if (answer == Answer.DONE) {
      operation.succeed();
    } else if (answer == Answer.REJECTED
        || operation.requestClass().idempotency() == Idempotency.IDEMPOTENT) {
      scheduleRetry(operation, retryAfter);
    }
  }

  /**
   * Schedules a retry after the Retry-After time, if there is one and this client respects it, or
   * else after an exponential backoff with jitter. Does nothing if the retry would start after the
   * operation's timeout or exceed the number of retries.
   */
  private void scheduleRetry(ClientOperation operation, long retryAfter) {
    if (operation.attempts() > behaviour.retries() || operation.hasEnded()) {
      return;
    }
    double backoff = behaviour.backoff() * Math.pow(2, operation.attempts() - 1);
    long delay = Math.round(backoff * random.nextJitterFactor());
    if (retryAfter > 0 && random.nextBoolean(behaviour.retryAfterShare())) {
      delay = retryAfter;
    }
    long operationDeadline = operation.startedAt() + operation.requestClass().clientTimeout();
    if (environment.now() + delay < operationDeadline) {
      environment.schedule(delay, () -> sendRequest(operation));
    }
  }
}
