package wheattrack.lab.sockets;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import wheattrack.aio.TcpConnection;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.lab.model.ClientPopulation;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;

/** One client connection to a proxy; it carries one req at a time. */
final class LoadConnection extends TcpConnection {
  private static final long REST = 15_000; // less than proxies let a connection rest

  private final ProxyProcess to;
  private final SocketRun stage;
  private final ResponseDecoder in = new ResponseDecoder();
  private ProxyProcess.Call call, last;
  private ByteBuffer out;
  private boolean reused, anyByte;
  private int turns;

  LoadConnection(ProxyProcess to, SocketRun stage, AsynchronousSocketChannel channel) {
    super(stage.loop, channel);
    this.to = to;
    this.stage = stage;
  }

  void dial(ProxyProcess.Call first) {
    call = first;
    connect(
        to.address(),
        () -> call(first, false),
        () -> {
          close();
          to.broke(first);
        });
  }

  boolean carries(ClientPopulation.Ask ask) {
    return call != null && call.ask == ask;
  }

  void call(ProxyProcess.Call next, boolean again) {
    if (isClosed()) {
      return;
    }
    call = next;
    reused = again;
    anyByte = false;
    turns++;
    out = next.bytes.duplicate();
    write(out);
    read(in.writableBuffer());
  }

  @Override
  protected void onWritten(boolean whole) {
    if (call == null || out.hasRemaining()) {
      return;
    }
    if (whole && !call.taken && call.ask.isOpen()) {
      call.taken = true;
      ClientPopulation.Ask ask = call.ask;
      stage.say(
          LedgerRecord.requestAccepted(
              stage.now(),
              ask.req(),
              ask.op().id(),
              to.place,
              stage.now() + call.timeout,
              ask.want().set().rules().index()));
      ProxyProcess.Call mine = call;
      stage.after(
          call.timeout + 5_000,
          () -> {
            if (call == mine) { // no answer is to come any more; the referee knows
              close();
            }
          });
    }
  }

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      ended();
      return;
    }
    anyByte |= n > 0;
    try {
      Response answer = in.next();
      if (answer == null) {
        read(in.writableBuffer());
      } else if (call == null) { // bytes that nobody asked for: a second answer
        stage.crowd().answers(last.ask, Answer.FAILED, 0);
        close();
      } else {
        answered(answer);
      }
    } catch (MalformedMessageException e) {
      ended();
    }
  }

  private void answered(Response answer) {
    last = call;
    call = null;
    String body = new String(answer.body(), StandardCharsets.US_ASCII);
    Answer how =
        answer.status() == 503 || answer.status() == 429
            ? Answer.REJECTED
            : answer.status() != 200
                ? Answer.FAILED
                : body.equals(Long.toHexString(last.ask.req()))
                    ? Answer.DONE
                    : Answer.CONNECTION_LOST;
    String advice = answer.headers().first("Retry-After");
    long wait = advice == null ? 0 : (long) (Double.parseDouble(advice) * 10_000);
    if (answer.keepAlive() && !isClosed()) {
      int turn = turns;
      to.free(this);
      read(in.writableBuffer());
      stage.after(
          REST,
          () -> {
            if (turns == turn) {
              close();
            }
          });
    } else {
      close();
    }
    stage.crowd().answers(last.ask, how, wait);
  }

  /**
   * A proxy may close a connection as a req crosses on it: that one is sent once more on a new one.
   */
  private void ended() {
    ProxyProcess.Call lost = call;
    call = null;
    close();
    if (lost != null && reused && !anyByte && to.isUp()) {
      stage.resent++;
      to.send(lost);
    } else if (lost != null) {
      to.broke(lost);
    }
  }

  @Override
  public void close() {
    super.close();
    to.closed(this);
  }
}
