package wheattrack.net.client;

import wheattrack.aio.EventLoop;
import wheattrack.http.RequestDecoder;

/**
 * Tracks how long the last byte of one long request body is known not to have arrived.
 *
 * <p>The client's timeout runs from the arrival of the last byte at this machine, which may be long
 * before that byte is read: while a backend does not accept the body, bytes stay unread in the
 * socket's receive buffer. The last byte is known to be missing while a read waits for bytes and
 * the bytes already read do not end the body, and while more bytes are missing than the systems of
 * both machines buffer. Times are tenths of a millisecond. Runs on the event loop's thread only.
 */
final class BodyArrival {
  /**
   * The size, in bytes, of the socket's receive buffer of each client's connection. A fixed size
   * keeps the system from enlarging the buffer, so that it bounds the bytes that lie unread.
   */
  static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  /** The most bytes that a client's system holds to be sent: the limit of Linux by default. */
  private static final long MAX_UNSENT_BYTES = 4L << 20;

  /** The most bytes that are written to a connection and not read; Linux doubles the set size. */
  private static final long MAX_UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES + MAX_UNSENT_BYTES;

  private final ClientConnection connection;
  private final EventLoop loop;
  private final RequestDecoder decoder;
  private final BodyArrivalChecker checker;

  /** Whether the body is still being received. */
  private boolean isTracking = true;

  /** The last time at which the body is known to have been incomplete. */
  private long incompleteAt;

  /** Whether the pending read was pending when the current check began. */
  private boolean isReadChecked;

  /** Whether nothing had arrived for the pending read when it was checked. */
  private boolean isReadWaiting;

  /** Whether the pending read waits, and the bytes read before do not end the body. */
  private boolean isKnownIncomplete;

  /** Begins with a request that has been received up to a part of its body. */
  BodyArrival(
      ClientConnection connection,
      EventLoop loop,
      RequestDecoder decoder,
      BodyArrivalChecker checker) {
    this.connection = connection;
    this.loop = loop;
    this.decoder = decoder;
    this.checker = checker;
    incompleteAt = loop.now();
    checker.add(this);
  }

  /** The last byte of the body has been read, or the body is of no use any more. */
  void stop() {
    isTracking = false;
    isKnownIncomplete = false;
    checker.remove(this);
  }

  /** A check of the pending read begins; it ends when all that has arrived by now is handled. */
  void beginCheck() {
    isReadChecked = connection.isReading();
  }

  /** A check ends: a read that was pending when it began, and still is, waits for the client. */
  void endCheck() {
    if (isReadChecked) {
      isReadWaiting = true;
      onDecoded();
    }
  }

  /** A read has completed. Must be called before its bytes are decoded. */
  void onReadCompleted() {
    incompleteAt = incompleteAt();
    isReadChecked = false;
    isReadWaiting = false;
    isKnownIncomplete = false;
  }

  /** Bytes that were read before have been decoded, and the body has not ended with them. */
  void onDecoded() {
    isKnownIncomplete = isReadWaiting && !decoder.mayHoldEndOfBody();
  }

  /** The last time at which the body is known to have been incomplete. */
  long incompleteAt() {
    boolean isIncomplete = isKnownIncomplete || decoder.missingBodyBytes() > MAX_UNREAD_BYTES;
    return isTracking && isIncomplete ? loop.now() : incompleteAt;
  }
}
