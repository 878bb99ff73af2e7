package wheattrack.net.client;

import wheattrack.core.MemoryAccount;
import wheattrack.core.MemoryUse;
import wheattrack.http.Request;
import wheattrack.http.StatusCode;

/**
 * What the memory of a client's connection is used for, and how it is given up. Times are tenths of
 * a millisecond. Runs on the event loop's thread only.
 */
final class ClientMemory implements MemoryAccount.Owner {
  /** The value of a time that is not set. */
  private static final long NEVER = -1;

  private final ClientConnection connection;
  private final RequestBodyReader bodyReader;

  /** Since when an incomplete request is being received, or {@link #NEVER}. */
  private long requestSince = NEVER;

  /** When bytes were received last, or the connection began to wait for the client's close. */
  private long lastProgressAt;

  /** The memory of the open request, in bytes. */
  private long openRequestBytes;

  ClientMemory(ClientConnection connection, RequestBodyReader bodyReader, long acceptedAt) {
    this.connection = connection;
    this.bodyReader = bodyReader;
    lastProgressAt = acceptedAt;
  }

  /** Bytes were received, or the wait for the client's close has begun. */
  void onProgress(long now) {
    lastProgressAt = now;
  }

  /** A part of a request was received. */
  void onIncompleteRequest(long now) {
    if (requestSince == NEVER) {
      requestSince = now;
    }
  }

  /** A request was received, complete or with the start of its body, and is open from now on. */
  void onRequest(Request request) {
    requestSince = NEVER;
    openRequestBytes = request.heldBytes();
  }

  /** The open request has its response, which counts separately until it is written. */
  void onResponse() {
    openRequestBytes = 0;
  }

  /** The memory of the open request, in bytes. */
  long openRequestBytes() {
    return openRequestBytes;
  }

  @Override
  public MemoryUse memoryUse() {
    if (connection.isLingering()) {
      return MemoryUse.CLOSING;
    }
    if (!connection.isBusy()) {
      return requestSince == NEVER ? MemoryUse.NEEDED : MemoryUse.INCOMPLETE_REQUEST;
    }
    if (connection.isWriting()) {
      return MemoryUse.UNREAD_RESPONSE;
    }
    if (connection.isStreamingResponse()) {
      return MemoryUse.NEEDED;
    }
    if (bodyReader.isPartAwaited()) {
      return MemoryUse.INCOMPLETE_BODY;
    }
    return bodyReader.hasDroppableBytes() ? MemoryUse.READ_AHEAD : MemoryUse.NEEDED;
  }

  @Override
  public long memoryUsedSince() {
    return switch (memoryUse()) {
      case INCOMPLETE_REQUEST -> requestSince;
      case UNREAD_RESPONSE -> connection.writeSince();
      default -> lastProgressAt;
    };
  }

  @Override
  public void releaseMemory(MemoryUse use) {
    switch (use) {
      case INCOMPLETE_REQUEST, INCOMPLETE_BODY ->
          connection.rejectMalformed(
              StatusCode.SERVICE_UNAVAILABLE, "incomplete requests use too much memory");
      case READ_AHEAD -> connection.dropReadAhead();
      default -> connection.close();
    }
  }
}
