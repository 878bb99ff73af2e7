package wheattrack.state;

/** Why a request was rejected before any attempt of it was sent. */
public enum RejectionCause {
  /** The endpoint list contains no backend that accepts new requests. */
  NO_BACKEND_READY("no srv is ready"),
  /** Every backend is warming up, ejected or at its capacity. */
  NO_BACKEND_AVAILABLE("all are cold, shut or full"),
  /** A share of all requests is shed, as too many recent ones ended late. */
  LOAD_SHED("a part is denied, as too many ended late"),
  /** The wait is too long at every backend, or a heavy request would miss its deadline anyway. */
  WAIT_TOO_LONG("each wait is judged too long");

  private final String logText;

  RejectionCause(String logText) {
    this.logText = logText;
  }

  /** The stable text for this cause in the log. */
  public String logText() {
    return logText;
  }
}
