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
 * their zone, on either clock. Runs on the run's thread only.
 */
public final class ClientPopulation {
  private final RunEnvironment environment;
  private final RandomStream random;
  private final RequestGenerator requestGenerator;
  private final ArrivalProcess arrivals;
  private final Clients behaviour;

  /** For each zone the proxies that the front load balancer takes to be up. */
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

  /** Informs the front load balancer that a proxy can be sent to, or that it is dead. */
  public void setProxyAvailable(ProxyHandle proxy, boolean available) {
    List<ProxyHandle> proxies = proxiesByZone.get(proxy.zone());
    proxies.remove(proxy);
    if (available) {
      proxies.add(proxy);
    }
  }

  /** Schedules the next operation, which schedules the one after it, until the scenario ends. */
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

  /** A proxy of the zone, or of the next one that has any; null where there is none at all. */
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
      long patience = (long) (random.nextDouble() * timeout);
      environment.schedule(patience, () -> disconnect(operation, request, proxy));
    }
  }

  private void disconnect(ClientOperation operation, ClientRequest request, ProxyHandle proxy) {
    if (request.isOpen()) {
      operation.disconnect();
      environment.record(LedgerRecord.clientDisconnected(environment.now(), request.requestId()));
      proxy.clientDisconnected(request);
    }
  }

  /** A request reached no proxy: there was nothing to connect to. */
  public void connectionRefused(ClientRequest request) {
    if (request.isOpen()) {
      request.operation().stopWaiting();
      scheduleRetry(request.operation(), 0);
    }
  }

  /**
   * A client has received a final answer, or its connection ended without one.
   *
   * @param retryAfter the proxy's advice how long to wait, 0 for none
   */
  public void answered(ClientRequest request, Answer answer, long retryAfter) {
    ClientOperation operation = request.operation();
    if (operation.isDisconnected()) {
      return;
    }
    environment.record(LedgerRecord.answered(environment.now(), request.requestId(), answer));
    if (!request.isOpen()) {
      return; // a second answer; the referee learns of it from the ledger
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
   * Retries after the advised delay, if this client follows the advice, or else after an
   * exponential backoff with jitter; not past the operation's timeout.
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
    long patienceEnd = operation.startedAt() + operation.requestClass().clientTimeout();
    if (environment.now() + delay < patienceEnd) {
      environment.schedule(delay, () -> sendRequest(operation));
    }
  }
}
