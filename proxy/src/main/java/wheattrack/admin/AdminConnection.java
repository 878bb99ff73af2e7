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
  private TimerQueue.Entry end;
  private boolean answered;

  AdminConnection(AdminServer admin, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.admin = admin;
  }

  void open() {
    end = loop.after(PATIENCE, this::close);
    read(in.room());
  }

  boolean isAnswered() {
    return answered;
  }

  @Override
  protected void came(int n) {
    if (n < 0) {
      close();
    } else if (answered) {
      in.room().clear();
      read(in.room());
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
    read(in.room());
  }

  private void answer(Response response) {
    answered = true;
    write(Encoder.response(response));
    loop.cancel(end);
    end = loop.after(LINGER, this::close);
  }

  @Override
  protected void wrote(boolean whole) {
    if (!whole) {
      close();
    } else if (!isClosed()) {
      endOutput();
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
