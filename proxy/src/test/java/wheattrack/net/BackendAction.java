package wheattrack.net;

/** How a scripted backend answers one request. */
enum BackendAction {
  /** 200 with the backend's name as body. */
  OK("ok"),
  /** 200 with the backend's name as a chunked body. */
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
  /** 503 with the header Not-Started, which says that the request has not run. */
  NOT_STARTED_503("full"),
  /** 504 with the header Not-Started, which says that the request has not run. */
  NOT_STARTED_504("late"),
  /** No answer; the connection stays open. */
  NO_ANSWER("none"),
  /** No answer; the connection is closed. */
  CLOSE("cut", true),
  /** 200 with a body that is shorter than its Content-Length; the connection is closed. */
  TRUNCATED_BODY("half", true),
  /** 200 with a body without a length, which ends when the connection is closed. */
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

  /** Whether the backend closes the connection after this action. */
  boolean closesConnection() {
    return closesConnection;
  }

  /** The name of the action in the expected traces. */
  @Override
  public String toString() {
    return traceText;
  }
}
