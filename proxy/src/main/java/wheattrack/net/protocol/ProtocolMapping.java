package wheattrack.net.protocol;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.RequestClass;
import wheattrack.config.TimeConversion;
import wheattrack.http.BodyFraming;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.http.StatusCode;

/**
 * Maps the operators' protocol (paths, headers, statuses) to the proxy's own types and back.
 * Stateless and safe for use by any thread. Times are tenths of a millisecond (ticks), and decimal
 * seconds on the wire.
 */
public final class ProtocolMapping {
  /** Path of the readiness check. */
  public static final String READY_PATH = "/ready";

  private static final String HEALTH_PATH = "/health";
  private static final String LOAD_PATH = "/status/load";

  private static final String REQUEST_ID = "Request-Id";
  private static final String REQUEST_CLASS = "Request-Class";
  private static final String REQUEST_TIMEOUT = "Request-Timeout";
  private static final String CLIENT_RETRY = "Client-Retry";
  private static final String WORK_HINT = "Work-Hint";
  private static final String NOT_STARTED = "Not-Started";
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String RETRY_AFTER = "Retry-After";

  /** Names, in lower case, of headers that concern one connection only or are set by the proxy. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "te",
          "trailer",
          "upgrade",
          "transfer-encoding",
          "content-length",
          "expect",
          "proxy-connection",
          "proxy-authorization",
          "request-timeout");

  private static final byte[] EMPTY_BODY = {};
  private static final Pattern NON_NEGATIVE_DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?");
  private static final Pattern END_OF_FIRST_SEGMENT = Pattern.compile("[/?]");

  /** Greater cost hints are reduced to this; in microseconds. */
  private static final long MAX_HINT = (long) Integer.MAX_VALUE * TimeConversion.MICROS_PER_TICK;

  /** Maximum length of a number in a header, in characters, with the decimal point. */
  private static final int MAX_NUMBER_LENGTH = 20;

  private static final long TICKS_PER_SECOND = 10_000;

  /** Decimal places of a time in seconds with the resolution of a tick. */
  private static final int DECIMAL_PLACES_OF_TICK = 4;

  private ProtocolMapping() {}

  /**
   * Parses the headers of a client's request.
   *
   * @param classes the request classes by name
   * @throws InvalidRequestException if a header is missing or malformed, or the class is unknown
   */
  public static ParsedRequest parse(Request request, Map<String, RequestClass> classes)
      throws InvalidRequestException {
    Headers headers = request.headers();
    String id = headers.first(REQUEST_ID);
    if (id == null || id.isEmpty()) {
      throw new InvalidRequestException(StatusCode.BAD_REQUEST, "no " + REQUEST_ID);
    }
    String className = className(request);
    RequestClass requestClass = classes.get(className);
    if (requestClass == null) {
      throw new InvalidRequestException(
          StatusCode.NOT_FOUND, "unknown " + REQUEST_CLASS + " " + className);
    }
    long clientTimeout = requestClass.clientTimeout();
    long timeout = number(headers, REQUEST_TIMEOUT, TICKS_PER_SECOND, clientTimeout, clientTimeout);
    int costHint = TimeConversion.costOfHint(number(headers, WORK_HINT, 1, MAX_HINT, 0));
    boolean clientRetry = "1".equals(headers.first(CLIENT_RETRY));
    return new ParsedRequest(id, request, className, requestClass, timeout, costHint, clientRetry);
  }

  /** The name of the request's class: from its header, or else the first segment of its path. */
  public static String className(Request request) {
    String name = request.headers().first(REQUEST_CLASS);
    if (name != null) {
      return name;
    }
    return END_OF_FIRST_SEGMENT.split(request.target().substring(1), 2)[0];
  }

  /** The number in a header times a factor, at most the maximum; the default if there is none. */
  private static long number(
      Headers headers, String name, long factor, long maximum, long defaultValue)
      throws InvalidRequestException {
    String text = headers.first(name);
    if (text == null) {
      return defaultValue;
    }
    if (text.length() > MAX_NUMBER_LENGTH || !NON_NEGATIVE_DECIMAL.matcher(text).matches()) {
      throw new InvalidRequestException(
          StatusCode.BAD_REQUEST,
          name
              + ": expected an unsigned decimal number, up to "
              + MAX_NUMBER_LENGTH
              + " characters");
    }
    BigDecimal number = new BigDecimal(text).multiply(BigDecimal.valueOf(factor));
    return number.min(BigDecimal.valueOf(maximum)).longValue();
  }

  /**
   * The request as a backend receives it.
   *
   * @param timeout how long the proxy will wait for the response; sent to the backend in a header
   */
  public static Request forwardedRequest(Request request, long timeout) {
    Headers headers = endToEndHeaders(request.headers()).with(REQUEST_TIMEOUT, seconds(timeout));
    return new Request(
        request.method(),
        request.target(),
        headers,
        true,
        request.body(),
        request.remainingBody(),
        true);
  }

  /** The headers without those that concern one connection only or are set by the proxy. */
  private static Headers endToEndHeaders(Headers received) {
    Headers forwarded = new Headers();
    for (int i = 0; i < received.size(); i++) {
      String name = received.name(i);
      if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))
          && !received.containsToken("Connection", name)) {
        forwarded.with(name, received.value(i));
      }
    }
    return forwarded;
  }

  /**
   * The request that probes a backend.
   *
   * @param asksForLoad whether it requests the backend's load; otherwise it only checks its health
   */
  public static Request probeRequest(boolean asksForLoad) {
    String path = asksForLoad ? LOAD_PATH : HEALTH_PATH;
    Headers headers = new Headers().with("Host", "service.internal");
    return new Request("GET", path, headers, true, EMPTY_BODY);
  }

  /** The outcome of an attempt that received this complete response. */
  public static AttemptOutcome attemptOutcome(Response response) {
    if (response.status() == StatusCode.OK) {
      return AttemptOutcome.DONE;
    }
    boolean mayBeFull =
        response.status() == StatusCode.SERVICE_UNAVAILABLE
            || response.status() == StatusCode.GATEWAY_TIMEOUT;
    if (mayBeFull && "1".equals(response.headers().first(NOT_STARTED))) {
      return AttemptOutcome.FULL;
    }
    return AttemptOutcome.ERROR;
  }

  /**
   * Whether a backend's response has a status for a client error, so that no other backend could
   * serve the request either.
   *
   * @param response the response; null: none was received
   */
  public static boolean isClientError(Response response) {
    return response != null && StatusCode.isClientError(response.status());
  }

  /**
   * A backend's response as the client receives it.
   *
   * @param keepAlive whether the client's connection may stay open after the response
   * @param clientTakesChunks whether a response of unknown length may be sent in chunks; otherwise
   *     its end is marked by closing the connection
   */
  public static Response forwardedResponse(
      Response response, boolean keepAlive, boolean clientTakesChunks) {
    Headers headers = endToEndHeaders(response.headers());
    if (response.remainingBody().isNone()) {
      String contentLength = response.headers().first(CONTENT_LENGTH);
      if (contentLength != null) {
        headers.with(CONTENT_LENGTH, contentLength);
      }
    }
    BodyFraming remainingBody = response.remainingBody();
    if (!remainingBody.hasKnownLength()) {
      remainingBody = clientTakesChunks ? BodyFraming.CHUNKED : BodyFraming.UNTIL_CLOSE;
    }
    boolean staysOpen = keepAlive && !remainingBody.isUntilClose();
    return new Response(StatusCode.OK, headers, staysOpen, response.body(), remainingBody);
  }

  /**
   * The response to a rejected request.
   *
   * @param retryAfter how long the client should wait before a retry; 0: no advice is sent
   */
  public static Response rejection(long retryAfter, boolean keepAlive) {
    Headers headers = new Headers();
    if (retryAfter > 0) {
      headers.with(RETRY_AFTER, seconds(retryAfter));
    }
    return new Response(StatusCode.SERVICE_UNAVAILABLE, headers, keepAlive, EMPTY_BODY);
  }

  /** A response from the proxy itself, with a line of text. */
  public static Response textResponse(int status, String text, boolean keepAlive) {
    return Response.text(status, text, keepAlive);
  }

  private static String seconds(long time) {
    return BigDecimal.valueOf(Math.max(0, time), DECIMAL_PLACES_OF_TICK).toPlainString();
  }
}
