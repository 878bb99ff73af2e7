package wheattrack.simulator;

import java.io.UncheckedIOException;
import java.util.List;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.RequestClass;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.LoadReport;
import wheattrack.config.OneLineText;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.config.TimeConversion;
import wheattrack.simulator.SimulatorProtocol.Field;

/**
 * One proxy of the simulator: translates its events to calls of its policy, which acts through
 * {@link SimulatedRuntime}. Not thread-safe.
 */
final class SimulatedProxy {
  /** Sticky keys are hexadecimal. */
  private static final int STICKY_KEY_RADIX = 16;

  private final MessageWriter writer;
  private final SimulatedRuntime runtime;
  private LoadBalancer loadBalancer;
  private EndpointListHandler endpointList;
  private RequestClass[] requestClasses;

  SimulatedProxy(MessageWriter writer) {
    this.writer = writer;
    this.runtime = new SimulatedRuntime(writer);
  }

  /**
   * Sets the clock. The time is rounded up and deadlines are rounded down, so that rounding never
   * lets an attempt outlast its request's deadline.
   *
   * @param timeMicros the time in microseconds
   */
  void setTime(long timeMicros) {
    runtime.setNow(TimeConversion.ticksRoundedUp(timeMicros));
  }

  /**
   * Handles one event. A runtime exception is reported by a message, and the proxy remains in use.
   *
   * @throws InvalidInputException if the event does not follow the wire format
   * @throws UncheckedIOException if the messages cannot be written
   */
  void handleEvent(String kind, EventFields event) throws InvalidInputException {
    try {
      dispatch(kind, event);
    } catch (UncheckedIOException e) {
      throw e; // the output fails, so no message can report it
    } catch (RuntimeException e) {
      reportFailure(kind, e);
    }
  }

  /**
   * Handles an endpoint list, which is ignored before the first configuration.
   *
   * @throws InvalidInputException if the list does not follow the wire format
   * @throws UncheckedIOException if the messages cannot be written
   */
  void handleEndpointList(String mode, List<?> records) throws InvalidInputException {
    try {
      if (loadBalancer != null) {
        endpointList.update(mode, records);
      }
    } catch (UncheckedIOException e) {
      throw e; // the output fails, so no message can report it
    } catch (RuntimeException e) {
      reportFailure(SimulatorProtocol.ENDPOINT_LIST, e);
    }
  }

  private void reportFailure(String kind, RuntimeException failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    String location = trace.length > 0 ? " at " + trace[0] : "";
    writer.writeInternalError(kind + ": " + failure + location);
  }

  private void dispatch(String kind, EventFields event) throws InvalidInputException {
    switch (kind) {
      case SimulatorProtocol.CONFIGURE -> configure(event);
      case SimulatorProtocol.SHUTDOWN -> shutDown();
      case SimulatorProtocol.REQUEST_ARRIVED -> requestArrived(event);
      case SimulatorProtocol.ATTEMPT_ENDED -> attemptEnded(event);
      case SimulatorProtocol.STREAMING_STARTED -> streamingStarted(event);
      case SimulatorProtocol.CLIENT_DISCONNECTED -> clientDisconnected(event);
      case SimulatorProtocol.TIMER_FIRED -> timerFired(event);
      case SimulatorProtocol.PROBE_ENDED -> probeEnded(event);
      case SimulatorProtocol.GOSSIP -> event.number(Field.PEER); // validated, but not used
      default -> throw new InvalidInputException("unknown event kind " + kind);
    }
  }

  private void configure(EventFields event) throws InvalidInputException {
    long seed = event.number(Field.SEED);
    Settings settings = event.settings();
    shutDown();
    requestClasses = PolicySettingsMapper.requestClasses(settings);
    boolean isWatching =
        settings.text(SimulatorProtocol.DISCOVERY, "").equals(SimulatorProtocol.DISCOVERY_BY_WATCH);
    loadBalancer = LoadBalancerFactory.create(settings, runtime, seed, requestClasses, isWatching);
    endpointList = new EndpointListHandler(runtime.backends(), loadBalancer);
  }

  private void shutDown() {
    runtime.clear();
    loadBalancer = null;
  }

  private void requestArrived(EventFields event) throws InvalidInputException {
    int classIndex = (int) event.number(Field.REQUEST_CLASS);
    if (classIndex < 0 || requestClasses == null || classIndex >= requestClasses.length) {
      throw new InvalidInputException(
          Field.REQUEST_CLASS.wireName() + ": no such request class: " + classIndex);
    }
    checkStickyKey(event);
    event.number(Field.TENANT, 0); // validated, but not used
    SimulatedRequest simulated = runtime.addRequest(event.text(Field.REQUEST_ID));
    int costHint = TimeConversion.costOfHint(event.number(Field.COST_HINT, 0));
    long deadline = TimeConversion.ticksRoundedDown(event.number(Field.DEADLINE));
    PendingRequest request =
        new PendingRequest(
            requestClasses[classIndex],
            runtime.now(),
            deadline,
            costHint,
            event.flag(Field.CLIENT_RETRY),
            simulated);
    simulated.setHandle(loadBalancer.accept(request));
  }

  private static void checkStickyKey(EventFields event) throws InvalidInputException {
    if (!event.has(Field.STICKY_KEY)) {
      return;
    }
    String key = event.text(Field.STICKY_KEY);
    try {
      Long.parseUnsignedLong(key, STICKY_KEY_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidInputException(
          Field.STICKY_KEY.wireName()
              + ": expected a hexadecimal number of at most 64 bits, got "
              + OneLineText.quoted(key));
    }
  }

  private void attemptEnded(EventFields event) throws InvalidInputException {
    SimulatedRequest request = runtime.findRequest(event.text(Field.REQUEST_ID));
    int attempt = (int) event.number(Field.ATTEMPT);
    AttemptOutcome outcome = SimulatorProtocol.outcome((int) event.number(Field.STATUS));
    long latency = event.number(Field.LATENCY) / TimeConversion.MICROS_PER_TICK;
    boolean isRequestEnded = event.flag(Field.REQUEST_ENDED);
    if (request == null || !request.isInFlight(attempt)) {
      return;
    }
    AttemptCallback callback = request.removeAttempt(attempt);
    if (isRequestEnded) {
      request.markAnswered();
    }
    runtime.removeIfFinished(request);
    handleLoadReport(runtime.backends().find(event.number(Field.BACKEND)), event);
    callback.ended(outcome, latency, isRequestEnded);
  }

  private void streamingStarted(EventFields event) throws InvalidInputException {
    int attempt = (int) event.number(Field.ATTEMPT);
    SimulatedRequest request = runtime.findRequest(event.text(Field.REQUEST_ID));
    if (request != null && !request.isAnswered()) {
      request.handle().streamingStarted(attempt);
    }
  }

  private void clientDisconnected(EventFields event) throws InvalidInputException {
    SimulatedRequest request = runtime.findRequest(event.text(Field.REQUEST_ID));
    if (request != null && !request.isAnswered()) {
      runtime.markAnswered(request);
      request.handle().clientDisconnected();
    }
  }

  private void timerFired(EventFields event) throws InvalidInputException {
    Runnable task = runtime.removeTimer(event.number(Field.TIMER_ID));
    if (task != null) {
      task.run();
    }
  }

  private void probeEnded(EventFields event) throws InvalidInputException {
    ListedBackend backend = runtime.backends().find(event.number(Field.BACKEND));
    boolean isAnswered = event.number(Field.STATUS) == SimulatorProtocol.STATUS_DONE;
    long latency = event.number(Field.LATENCY) / TimeConversion.MICROS_PER_TICK;
    if (backend == null || !backend.hasProbeInFlight()) {
      return;
    }
    handleLoadReport(backend, event);
    backend.removeOldestProbe().ended(isAnswered, latency);
  }

  private void handleLoadReport(ListedBackend backend, EventFields event) {
    if (backend == null || !event.hasLoadReport()) {
      return;
    }
    LoadReport report = event.loadReport();
    loadBalancer.onLoadReport(backend.index(), report.inFlight(), report.queued());
  }
}
