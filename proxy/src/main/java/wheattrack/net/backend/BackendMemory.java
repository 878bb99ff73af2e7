package wheattrack.net.backend;

import wheattrack.core.MemoryAccount;
import wheattrack.core.MemoryUse;

/**
 * What the memory of a connection to a backend is used for, and how it is given up. Times are
 * tenths of a millisecond. Runs on the event loop's thread only.
 */
final class BackendMemory implements MemoryAccount.Owner {
  /** The value of a time that is not set. */
  private static final long NEVER = -1;

  private final BackendConnection connection;

  /** Since when the current response is being received, or {@link #NEVER}. */
  private long responseSince = NEVER;

  /** When bytes were received last. */
  private long lastReadAt;

  BackendMemory(BackendConnection connection) {
    this.connection = connection;
  }

  /** A request is being sent. */
  void onRequest() {
    responseSince = NEVER;
  }

  /** Bytes, or the end of the connection, were received. */
  void onRead(long now) {
    lastReadAt = now;
    if (responseSince == NEVER) {
      responseSince = now;
    }
  }

  @Override
  public MemoryUse memoryUse() {
    boolean hasAttempt = connection.currentAttempt() != null;
    if (hasAttempt && connection.isWriting()) {
      return MemoryUse.UNREAD_REQUEST;
    }
    boolean isReceiving = hasAttempt ? responseSince != NEVER : connection.isReceivingPart();
    return isReceiving ? MemoryUse.INCOMPLETE_RESPONSE : MemoryUse.NEEDED;
  }

  @Override
  public long memoryUsedSince() {
    if (connection.currentAttempt() == null) {
      return lastReadAt;
    }
    return connection.isWriting() ? connection.writeSince() : responseSince;
  }

  @Override
  public void releaseMemory(MemoryUse use) {
    connection.giveUp();
  }
}
