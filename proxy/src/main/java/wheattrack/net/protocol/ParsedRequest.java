package wheattrack.net.protocol;

import wheattrack.api.RequestClass;
import wheattrack.http.Request;

/**
 * A client's request with the values of its headers. Times are tenths of a millisecond.
 *
 * @param id the client's identifier of the request
 * @param message the request as it was received
 * @param className the name of its class, under which metrics count it
 * @param requestClass the settings of its class as they were when it was received
 * @param timeout how long its client waits for the final answer, at most the timeout of its class
 * @param costHint the cost that its client expects; 0: no hint
 * @param clientRetry whether its client marked it as a retry
 */
public record ParsedRequest(
    String id,
    Request message,
    String className,
    RequestClass requestClass,
    long timeout,
    int costHint,
    boolean clientRetry) {
  /** This request without the content of its message, which needs no memory then. */
  public ParsedRequest withoutContent() {
    return new ParsedRequest(
        id, message.withoutContent(), className, requestClass, timeout, costHint, clientRetry);
  }
}
