package wheattrack.aio;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import wheattrack.core.MemoryAccount;

/**
 * One TCP connection with at most one read and one write pending, each of which completes in a step
 * of the event loop. All methods run on the event loop's thread only.
 */
public abstract class TcpConnection {
  /** Passed to {@link #onRead} when the peer has closed its side of the connection. */
  public static final int END_OF_STREAM = -1;

  /** Passed to {@link #onRead} when the connection has broken. */
  public static final int CONNECTION_BROKEN = -2;

  /** The loop on which this connection's operations complete. */
  protected final EventLoop loop;

  private final AsynchronousSocketChannel channel;

  /** The buffers still to be written, in order; the write of the first one is pending. */
  private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();

  /** Counts the memory that this connection holds; null: it is not counted. */
  private MemoryAccount memory;

  /** The capacities of the buffers still to be written, in bytes. */
  private long pendingWriteBytes;

  /** When the pending write of a buffer began. */
  private long writingSince;

  private boolean isClosed;
  private boolean isReading;

  /** Wraps a channel, connected or not, whose group runs on this loop. */
  protected TcpConnection(EventLoop loop, AsynchronousSocketChannel channel) {
    this.loop = loop;
    this.channel = channel;
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | RuntimeException e) {
      // a connection that is already broken fails at its first read
    }
  }

  /** Connects to the address; exactly one of the two tasks is run, once, in a later step. */
  public final void connect(SocketAddress address, Runnable onConnected, Runnable onFailed) {
    try {
      channel.connect(
          address, null, loop.handler(none -> onConnected.run(), cause -> onFailed.run()));
    } catch (RuntimeException e) {
      loop.defer(onFailed);
    }
  }

  /**
   * Starts one read into the buffer in a step of its own. The buffer belongs to the read until
   * {@link #onRead} is called, unless the connection is closed before: bytes appear in it only in
   * the step right before that call. Does nothing while a read is pending, and on a closed
   * connection.
   */
  public final void read(ByteBuffer buffer) {
    if (isClosed || isReading) {
      return;
    }
    isReading = true;
    updateMemory();
    loop.defer(() -> startRead(buffer));
  }

  private void startRead(ByteBuffer buffer) {
    if (!isClosed) { // a closed connection must not consume further bytes
      channel.read(
          buffer, null, loop.handler(this::completeRead, cause -> completeRead(CONNECTION_BROKEN)));
    }
  }

  private void completeRead(int count) {
    isReading = false;
    if (!isClosed) {
      onRead(count);
      updateMemory();
    } else if (count > 0) {
      onReadDropped(count);
    }
  }

  /**
   * A read has returned bytes after the connection was closed, so that a request among them gets no
   * response. Does nothing by default; a subclass may override it to count such reads.
   *
   * @param count the number of bytes that were read and dropped
   */
  protected void onReadDropped(int count) {}

  /**
   * Writes the whole buffer, after the writes that are pending. {@link #onWritten} is called in a
   * later step, also if the connection is closed during this write; a write that is still queued
   * when the connection is closed is dropped.
   */
  public final void write(ByteBuffer buffer) {
    pendingWrites.add(buffer);
    pendingWriteBytes += buffer.capacity();
    if (pendingWrites.size() == 1) {
      startWriting();
    }
    updateMemory();
  }

  private void startWriting() {
    writingSince = loop.now();
    continueWriting();
  }

  private void continueWriting() {
    ByteBuffer buffer = pendingWrites.peek();
    channel.write(
        buffer,
        null,
        loop.handler(count -> completeWrite(buffer, true), cause -> completeWrite(buffer, false)));
  }

  private void completeWrite(ByteBuffer buffer, boolean succeeded) {
    if (succeeded && buffer.hasRemaining() && !isClosed) {
      continueWriting();
      return;
    }
    pendingWrites.remove();
    pendingWriteBytes -= buffer.capacity();
    if (isClosed) {
      pendingWrites.clear();
    } else if (!pendingWrites.isEmpty()) {
      startWriting();
    }
    onWritten(succeeded && !buffer.hasRemaining());
    updateMemory();
  }

  /** Counts the memory of this connection in the account from now on. */
  protected final void countMemoryIn(MemoryAccount account) {
    memory = account;
    updateMemory();
  }

  /** Updates the account after the memory that this connection holds has changed. */
  protected final void updateMemory() {
    if (memory != null) {
      memory.setHeldBytes(isClosed ? 0 : pendingWriteBytes + bufferedBytes());
    }
  }

  /** The memory that this connection holds, in bytes, apart from what is still to be written. */
  protected long bufferedBytes() {
    return 0;
  }

  /** When the pending write of a buffer began, in ticks; valid while {@link #isWriting}. */
  protected final long writingSince() {
    return writingSince;
  }

  /** The peer's address, for the log; "?" if the connection is closed or was never established. */
  protected final String remoteAddressText() {
    try {
      return String.valueOf(channel.getRemoteAddress());
    } catch (IOException e) {
      return "?";
    }
  }

  /** Whether a read is pending. */
  public final boolean isReading() {
    return isReading;
  }

  /** Whether a write is pending or queued. */
  public final boolean isWriting() {
    return !pendingWrites.isEmpty();
  }

  /** Whether {@link #close} was called. */
  public final boolean isClosed() {
    return isClosed;
  }

  /** Closes this side of the connection for writing; closes all of it if that fails. */
  public final void shutdownOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException | RuntimeException e) {
      close();
    }
  }

  /** Closes the connection; a pending read is discarded and a pending write fails. */
  public void close() {
    if (isClosed) {
      return;
    }
    isClosed = true;
    updateMemory();
    try {
      channel.close();
    } catch (IOException e) {
      // nothing is left to do: the descriptor is released either way
    }
  }

  /**
   * A read has completed.
   *
   * @param count the bytes read, {@link #END_OF_STREAM} or {@link #CONNECTION_BROKEN}
   */
  protected abstract void onRead(int count);

  /**
   * A write has completed.
   *
   * @param isComplete whether all of its bytes were written; if not, the connection has failed
   */
  protected abstract void onWritten(boolean isComplete);
}
