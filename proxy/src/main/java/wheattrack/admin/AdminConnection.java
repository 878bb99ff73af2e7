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

/** One operator's connection: one call, one answer, and the end. */
final class AdminConnection extends TcpConnection {
  /** For a whole call, and for the caller to close after its answer. */
  private static final long PATIENCE = 50_000, LINGER = 5_000;

  private final AdminServer admin;
  private final RequestDecoder in = new RequestDecoder();
  private TimerQueue.Timer end;
  private boolean answered;

  AdminConnection(AdminServer admin, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.admin = admin;
  }

  void open() {
    end = loop.schedule(PATIENCE, this::close);
    read(in.writableBuffer());
  }

  boolean isAnswered() {
    return answered;
  }

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      close();
    } else if (answered) {
      in.writableBuffer().clear();
      read(in.writableBuffer());
    } else {
      next();
    }
  }

  private void next() {
    try {
      Request call = in.next();
      if (call != null) {
        answer(admin.answer(call));
      }
    } catch (MalformedMessageException e) {
      answer(AdminServer.text(e.status, e.getMessage()));
    }
    read(in.writableBuffer());
  }

  private void answer(Response response) {
    answered = true;
    write(Encoder.response(response));
    loop.cancel(end);
    end = loop.schedule(LINGER, this::close);
  }

  @Override
  protected void onWritten(boolean whole) {
    if (!whole) {
      close();
    } else if (!isClosed()) {
      shutdownOutput();
    }
  }

  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      loop.cancel(end);
      admin.closed(this);
    }
  }
}
