package wheattrack.net;

/** How a scripted backend answers one request. */
enum BackendAction {
  /** 200 with the backend's name as body. */
  OK("ok"),
  /** The same with a chunked body. */
  OK_CHUNKED("chunks"),
  /** 200 with the head of the request as body. */
  ECHO("echo"),
  /** 200 after a delay. */
  SLOW_OK("slow"),
  /** 500 after a delay. */
  SLOW_STATUS_500("slow 500"),
  STATUS_404("404"),
  STATUS_500("500"),
  STATUS_503("503"),
  /** 503 with the header for a request that was not started. */
  NOT_STARTED_503("full"),
  /** 504 with the header for a request that was not started. */
  NOT_STARTED_504("late"),
  /** No answer; the connection stays open. */
  NO_ANSWER("none"),
  /** No answer; the connection is closed. */
  CLOSE("cut", true),
  /** The connection is closed within the body. */
  TRUNCATED_BODY("half", true),
  /** A body without a length, which ends with the connection. */
  BODY_WITHOUT_LENGTH("unmeasured", true),
  /** Bytes that are not HTTP; the connection is closed. */
  NOT_HTTP("garbage", true);

  private final String traceText;
  private final boolean closesConnection;

  BackendAction(String traceText) {
    this(traceText, false);
  }

  BackendAction(String traceText, boolean closesConnection) {
    this.traceText = traceText;
    this.closesConnection = closesConnection;
  }

  /** Whether the backend closes the connection afterwards. */
  boolean closesConnection() {
    return closesConnection;
  }

  /** The name of the action in the expected traces. */
  @Override
  public String toString() {
    return traceText;
  }
}
