package wheattrack.aio;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;

/**
 * One TCP connection: at most one read and one write at a time, each ending as a step of the loop.
 */
public abstract class TcpConnection {
  protected final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private boolean closed;
  private boolean reading;
  private final ArrayDeque<ByteBuffer> writes = new ArrayDeque<>();

  protected TcpConnection(EventLoop loop, AsynchronousSocketChannel channel) {
    this.loop = loop;
    this.channel = channel;
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | RuntimeException e) {
      // a connection that is broken already shows so at its first read
    }
  }

  public final void connect(SocketAddress to, Runnable up, Runnable failed) {
    try {
      channel.connect(to, null, loop.handler(none -> up.run(), why -> failed.run()));
    } catch (RuntimeException e) {
      loop.defer(failed);
    }
  }

  /** What came() is told when the other side ended in order, and when the connection broke. */
  public static final int END_OF_STREAM = -1, CONNECTION_BROKEN = -2;

  /** Reads once into the room; came() follows, also with END or BREAK, but not after close(). */
  public final void read(ByteBuffer room) {
    if (closed || reading) {
      return;
    }
    reading = true;
    channel.read(room, null, loop.handler(n -> readDone(n), why -> readDone(CONNECTION_BROKEN)));
  }

  private void readDone(int n) {
    reading = false;
    if (!closed) {
      onRead(n);
    }
  }

  /**
   * Writes all, after what is being written; wrote() follows, with whether the last byte was taken.
   */
  public final void write(ByteBuffer bytes) {
    writes.add(bytes);
    if (writes.size() == 1) {
      writeOn();
    }
  }

  private void writeOn() {
    ByteBuffer bytes = writes.peek();
    channel.write(bytes, null, loop.handler(n -> writeDone(bytes, n), why -> writeDone(bytes, -1)));
  }

  private void writeDone(ByteBuffer bytes, int n) {
    if (n >= 0 && bytes.hasRemaining() && !closed) {
      writeOn();
      return;
    }
    writes.remove();
    if (!writes.isEmpty() && !closed) {
      writeOn();
    }
    onWritten(n >= 0 && !bytes.hasRemaining());
  }

  public final boolean isReading() {
    return reading;
  }

  public final boolean isWriting() {
    return !writes.isEmpty();
  }

  public final boolean isClosed() {
    return closed;
  }

  public final void shutdownOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException | RuntimeException e) {
      close();
    }
  }

  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException e) {
      // it is gone either way
    }
  }

  protected abstract void onRead(int n);

  protected abstract void onWritten(boolean whole);
}
