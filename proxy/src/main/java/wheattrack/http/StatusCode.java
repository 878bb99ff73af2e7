package wheattrack.http;

/** The HTTP status codes that this program sends or distinguishes, and their reason phrases. */
public final class StatusCode {
  /** The request was served. */
  public static final int OK = 200;

  /** The request was served; its response has no body. */
  public static final int NO_CONTENT = 204;

  /** The client's copy is current; the response has no body. */
  public static final int NOT_MODIFIED = 304;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** The target does not exist. */
  public static final int NOT_FOUND = 404;

  /** The method is not supported for the target. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** The request took too long to arrive. */
  public static final int REQUEST_TIMEOUT = 408;

  /** The request conflicts with another one. */
  public static final int CONFLICT = 409;

  /** The body is over the limit. */
  public static final int CONTENT_TOO_LARGE = 413;

  /** The client sends requests too fast. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** The head is over a limit. */
  public static final int HEADER_FIELDS_TOO_LARGE = 431;

  /** A server behind this one sent an invalid response. */
  public static final int BAD_GATEWAY = 502;

  /** The request cannot be served at present. */
  public static final int SERVICE_UNAVAILABLE = 503;

  /** A server behind this one did not respond in time. */
  public static final int GATEWAY_TIMEOUT = 504;

  private static final int MIN_FINAL = 200;
  private static final int MIN_CLIENT_ERROR = 400;
  private static final int MIN_SERVER_ERROR = 500;

  private StatusCode() {}

  /** Whether this code is interim (1xx): another response to the same request follows. */
  public static boolean isInterim(int statusCode) {
    return statusCode < MIN_FINAL;
  }

  /** Whether this code is a client error (4xx): the request itself is at fault. */
  public static boolean isClientError(int statusCode) {
    return statusCode >= MIN_CLIENT_ERROR && statusCode < MIN_SERVER_ERROR;
  }

  /** Whether this code is a server error (5xx), which includes rejections. */
  public static boolean isServerError(int statusCode) {
    return statusCode >= MIN_SERVER_ERROR;
  }

  /** Whether a response with this code has no body, whatever its headers say. */
  static boolean hasNoBody(int statusCode) {
    return isInterim(statusCode) || statusCode == NO_CONTENT || statusCode == NOT_MODIFIED;
  }

  /** The reason phrase that a status line shows after the code. */
  static String reasonPhrase(int statusCode) {
    return switch (statusCode) {
      case OK -> "OK";
      case BAD_REQUEST -> "Bad Request";
      case NOT_FOUND -> "Not Found";
      case METHOD_NOT_ALLOWED -> "Method Not Allowed";
      case REQUEST_TIMEOUT -> "Request Timeout";
      case CONFLICT -> "Conflict";
      case CONTENT_TOO_LARGE -> "Content Too Large";
      case TOO_MANY_REQUESTS -> "Too Many Requests";
      case HEADER_FIELDS_TOO_LARGE -> "Request Header Fields Too Large";
      case BAD_GATEWAY -> "Bad Gateway";
      case SERVICE_UNAVAILABLE -> "Service Unavailable";
      case GATEWAY_TIMEOUT -> "Gateway Timeout";
      default -> "Status " + statusCode;
    };
  }
}
