package wheattrack.core;

/** Why a connection to a backend carries no further request after a response. */
public enum NoReuseReason {
  /** The response was a rejection or an error, of which a second copy could not be recognized. */
  STATUS,
  /** The response was too long to be compared with later ones. */
  LONG_RESPONSE,
  /** The connection has carried as many responses as its history holds. */
  HISTORY_FULL,
  /** The backend closes it, or has responded before the request was written. */
  BACKEND_CLOSES
}
