package wheattrack.core;

/** Why a connection to a backend was opened. */
public enum ConnectReason {
  /** No connection to the backend was idle. */
  NONE_IDLE,
  /** There was an idle connection, but the request must not use one that has carried a response. */
  NEW_REQUIRED,
  /** All idle connections are reserved for probes, or the other way round. */
  OTHER_USE
}
