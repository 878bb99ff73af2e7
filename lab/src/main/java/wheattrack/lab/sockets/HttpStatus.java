package wheattrack.lab.sockets;

/** The status codes that the lab's backends send and that its clients distinguish. */
final class HttpStatus {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
