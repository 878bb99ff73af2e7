package wheattrack.net;

import java.nio.ByteBuffer;
import java.util.Map;
import wheattrack.api.AttemptCallback;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyEvent;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.ProbeCallback;
import wheattrack.api.RequestClass;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.core.BackendIndex;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.http.StatusCode;
import wheattrack.net.protocol.InvalidRequestException;
import wheattrack.net.protocol.ParsedRequest;
import wheattrack.net.protocol.ProtocolMapping;

/**
 * Makes the JVM compile the code that handles requests before the first real request: synthetic
 * messages pass through the decoders, a policy instance used only here, and the encoder, without
 * sockets and with a simulated clock. Each attempt ends a tenth of a millisecond after it was sent.
 * Not thread-safe: create and run it on one thread.
 */
final class JitWarmUp implements PolicyRuntime {
  private static final int BACKEND_COUNT = 8;

  /** Seed of the random numbers of the policy. */
  private static final long SEED = 1;

  /** Simulated time between two rounds over the request classes, in tenths of a millisecond. */
  private static final long ROUND_INTERVAL = 20;

  /** Cost hint of the first request, in microseconds. */
  private static final int FIRST_HINT = 1000;

  /** Difference between the cost hints of successive requests, in microseconds. */
  private static final int HINT_STEP = 7919;

  /** Width of the range of cost hints, in microseconds. */
  private static final int HINT_RANGE = 50_000;

  /** Bodies of requests are shorter than this, in bytes. */
  private static final int REQUEST_BODY_LIMIT = 512;

  /** Bodies of responses are shorter than this, in bytes. */
  private static final int RESPONSE_BODY_LIMIT = 200;

  private final Map<String, RequestClass> classes;
  private final TimerQueue timers = new TimerQueue();
  private final RequestDecoder requestDecoder = new RequestDecoder();
  private final ResponseDecoder responseDecoder = new ResponseDecoder();
  private final LoadBalancer loadBalancer;
  private long now = 1;

  /** Creates a warm-up whose policy has these settings and simulated backends. */
  JitWarmUp(Settings settings) {
    RequestClass[] requestClasses = PolicySettingsMapper.requestClasses(settings);
    classes = PolicySettingsMapper.classesByName(settings, requestClasses);
    loadBalancer = LoadBalancerFactory.create(settings, this, SEED, requestClasses, false);
    for (int backend = 0; backend < BACKEND_COUNT; backend++) {
      loadBalancer.updateBackend(
          new EndpointUpdate(backend, backend, true, 0, 0, 0, 1, BackendIndex.LONG_AGO, true));
    }
    loadBalancer.endpointListUpdated(false);
  }

  /**
   * Runs rounds of one request of each class until a number of requests or a time is reached; at
   * least one round.
   *
   * @param maxRequests no further round begins after this number of requests
   * @param maxNanos no further round begins after this time, in nanoseconds
   * @return the number of requests that were run
   */
  int run(int maxRequests, long maxNanos) {
    long deadline = System.nanoTime() + maxNanos;
    int requests = 0;
    try {
      do {
        for (String className : classes.keySet()) {
          runRequest(className, requests);
          requests++;
        }
        now += ROUND_INTERVAL;
        runDueTasks();
      } while (requests < maxRequests && System.nanoTime() < deadline);
    } catch (MalformedMessageException | InvalidRequestException e) {
      throw new IllegalStateException("a synthetic warm-up message was rejected", e);
    }
    return requests;
  }

  private void runDueTasks() {
    Runnable task = timers.pollDue(now);
    while (task != null) {
      task.run();
      task = timers.pollDue(now);
    }
  }

  private void runRequest(String className, int number)
      throws MalformedMessageException, InvalidRequestException {
    ByteBuffer bytes = Encoder.request(syntheticRequest(className, number));
    while (bytes.hasRemaining()) {
      ByteBuffer buffer = requestDecoder.writableBuffer();
      while (bytes.hasRemaining() && buffer.hasRemaining()) {
        buffer.put(bytes.get());
      }
    }
    ParsedRequest request = ProtocolMapping.parse(requestDecoder.next(), classes);
    loadBalancer.accept(
        new PendingRequest(
            request.requestClass(),
            now,
            now + request.timeout(),
            request.costHint(),
            request.clientRetry(),
            request));
  }

  private static Request syntheticRequest(String className, int number) {
    Headers headers =
        new Headers()
            .with("Host", "warm.up")
            .with("Request-Id", Integer.toHexString(number))
            .with("Request-Class", className)
            .with("Request-Timeout", "1.000")
            .with("Work-Hint", Integer.toString(FIRST_HINT + number * HINT_STEP % HINT_RANGE))
            .with("Request-Info", "a=1,b=2");
    String method = number % 2 == 0 ? "POST" : "GET";
    return new Request(
        method, "/" + className, headers, true, new byte[number % REQUEST_BODY_LIMIT]);
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void sendAttempt(
      PendingRequest request, int backend, long timeout, AttemptCallback callback) {
    Request message = ((ParsedRequest) request.attachment()).message();
    Encoder.request(ProtocolMapping.forwardedRequest(message, timeout));
    long sentAt = now;
    timers.add(now + 1, () -> callback.ended(respond(message.body()), now - sentAt, true));
  }

  private AttemptOutcome respond(byte[] requestBody) {
    Headers headers = new Headers().with("Content-Type", "application/json");
    byte[] body = new byte[requestBody.length % RESPONSE_BODY_LIMIT];
    responseDecoder
        .writableBuffer()
        .put(Encoder.response(new Response(StatusCode.OK, headers, true, body)));
    try {
      Response response = responseDecoder.next();
      Encoder.response(ProtocolMapping.forwardedResponse(response, true, true));
      return ProtocolMapping.attemptOutcome(response);
    } catch (MalformedMessageException e) {
      return AttemptOutcome.ERROR; // unreachable: synthetic responses are well-formed
    }
  }

  @Override
  public void cancelAttempt(PendingRequest request, int attempt) {
    // a cancelled attempt ends at the next tick like any other
  }

  @Override
  public void reject(PendingRequest request, long retryAfter) {
    Encoder.response(ProtocolMapping.rejection(retryAfter, true));
  }

  @Override
  public void fail(PendingRequest request) {
    Encoder.response(
        ProtocolMapping.textResponse(
            StatusCode.BAD_GATEWAY, "no usable response from a backend", true));
  }

  @Override
  public void probeLoad(int backend, ProbeCallback callback) {
    // there is no backend to ask
  }

  @Override
  public void closeIdleConnections(int backend) {
    // there are no connections
  }

  @Override
  public void schedule(long delay, Runnable task) {
    timers.add(now + delay, task);
  }

  @Override
  public void watchEndpoints() {
    // the endpoint list never changes
  }

  @Override
  public void report(PolicyEvent event) {
    // events of synthetic requests are not reported
  }
}
