package wheattrack.admin;

import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.EventLoop;
import wheattrack.aio.TcpConnection;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;

/**
 * An operator's connection, which carries one request and one response and is then closed. Runs on
 * the event loop's thread only.
 */
final class AdminConnection extends TcpConnection {
  /** The longest time until the request is complete, in tenths of a millisecond. */
  private static final long REQUEST_TIMEOUT = 50_000;

  /** The longest time until the operator closes after the response, in tenths of a millisecond. */
  private static final long CLOSE_TIMEOUT = 5_000;

  private final AdminServer server;
  private final RequestDecoder decoder = new RequestDecoder();
  private TimerQueue.Timer timeout;
  private boolean isAnswered;

  AdminConnection(AdminServer server, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.server = server;
  }

  /** Starts to read the request. */
  void open() {
    timeout = loop.schedule(REQUEST_TIMEOUT, this::close);
    read(decoder.writableBuffer());
  }

  /** Whether the request was answered; the response may not be written yet. */
  boolean isAnswered() {
    return isAnswered;
  }

  @Override
  protected void onRead(int byteCount) {
    if (byteCount < 0) {
      close();
    } else if (isAnswered) {
      decoder.writableBuffer().clear(); // bytes after the request are discarded
      read(decoder.writableBuffer());
    } else {
      decode();
    }
  }

  private void decode() {
    try {
      Request request = decoder.next();
      if (request != null) {
        respond(server.respond(request));
      }
    } catch (MalformedMessageException e) {
      respond(AdminServer.text(e.status(), e.getMessage()));
    }
    read(decoder.writableBuffer());
  }

  private void respond(Response response) {
    isAnswered = true;
    write(Encoder.response(response));
    loop.cancel(timeout);
    timeout = loop.schedule(CLOSE_TIMEOUT, this::close);
  }

  @Override
  protected void onWritten(boolean isComplete) {
    if (!isComplete) {
      close();
    } else if (!isClosed()) {
      shutdownOutput();
    }
  }

  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      loop.cancel(timeout);
      server.onClosed(this);
    }
  }
}
