package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.TcpConnection;
import wheattrack.api.AttemptOutcome;
import wheattrack.core.TimerQueue;
import wheattrack.http.Decoder;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;

/** One connection to a backend; it carries one dispatch at a time. */
final class BackendConnection extends TcpConnection {
  /** How long a long answer may pause at the backend, and a long body on the way there. */
  static final long PAUSE = 100_000;

  private final BackendConnectionPool backend;
  private final Connector dialler;
  private final ResponseDecoder in;

  /** Where it leads, and since when. */
  final InetSocketAddress to;

  final long since;
  private BackendAttempt carried, writing;

  /** Of a long body what is still to be written, and whether it goes in chunks. */
  private RequestBodyRelay body;

  private boolean chunks;

  /** A long answer that is being passed on, and whether the connection may serve after it. */
  private ResponseRelay passing;

  private boolean keep;
  private boolean dialling;
  private boolean resting;
  private long restsSince, fitFrom;
  private boolean broken, holding;
  private TimerQueue.Timer deadline;
  int slot;

  BackendConnection(
      BackendConnectionPool backend, AsynchronousSocketChannel channel, Connector dialler) {
    super(backend.loop, channel);
    this.backend = backend;
    this.dialler = dialler;
    in = new ResponseDecoder(dialler.mostBody);
    to = backend.address;
    since = loop.now();
  }

  BackendAttempt carried() {
    return carried;
  }

  void dial(long timeout) {
    dialling = true;
    deadline = loop.schedule(timeout, this::dialFailed);
    connect(to, this::dialled, this::dialFailed);
  }

  private void dialled() {
    if (dialling && !isClosed()) {
      dialling = false;
      loop.cancel(deadline);
      read(in.writableBuffer());
      backend.dialled(this);
    }
  }

  private void dialFailed() {
    if (dialling) {
      close();
    }
  }

  void carry(BackendAttempt d) {
    loop.cancel(deadline);
    resting = false;
    carried = writing = d;
    d.startOn(this);
    Request request = d.buildRequest();
    body = d.body();
    chunks = request.remainingBody() == Decoder.CHUNKED;
    in.expectNoBody(request.method().equals("HEAD"));
    write(Encoder.request(request));
  }

  boolean isResting() {
    return resting;
  }

  long restsSince() {
    return restsSince;
  }

  /** From when on it may carry a dispatch. */
  long fitFrom() {
    return fitFrom;
  }

  /**
   * Whether it has rested so long that it should be closed by now, and its backend may have done
   * so.
   */
  boolean isOverdue() {
    return dialler.idle > 0 && loop.now() - restsSince >= dialler.idle;
  }

  /** Stands idle, for so long only to settle; closed well before the backend would do so. */
  void rest(long settle) {
    resting = true;
    restsSince = loop.now();
    fitFrom = restsSince + settle;
    restOn();
  }

  /** Rests on, no longer than connections may rest now. */
  void restOn() {
    loop.cancel(deadline);
    if (dialler.idle > 0) {
      deadline = loop.schedule(restsSince + dialler.idle - loop.now(), this::close);
    }
  }

  /** A further piece of a long body. */
  void pass(ByteBuffer bytes, boolean last) {
    if (last) {
      body = null;
    } else {
      carried.setTimeout(PAUSE);
    }
    write(chunks ? Encoder.chunk(bytes, last) : bytes);
  }

  @Override
  protected void onWritten(boolean whole) {
    if (whole && writing != null && body == null) {
      writing.onRequestWritten();
      writing = null;
    }
    if (carried == null || passing != null) {
      return;
    }
    if (broken || !whole) {
      finish(whole && body == null ? AttemptOutcome.RESET : AttemptOutcome.NO_CONNECT);
    } else if (body != null) {
      body.requestNext(this);
    }
  }

  /**
   * Cut-off backends: a break while the write is out says nothing yet of whether it was taken
   * whole.
   */
  @Override
  protected void onRead(int n) {
    boolean ended = n == END_OF_STREAM && in.endOfStream();
    if (passing != null) {
      if (n < 0 && !ended) {
        close();
      } else {
        passOn();
      }
      return;
    }
    if (n < 0 && !ended || carried == null) {
      breakOff();
      return;
    }
    try {
      Response answer = in.next();
      if (answer == null) {
        if (in.isOpenEnded() && !holding) {
          holding = true;
          deadline = loop.schedule(carried.remainingBufferingTime(), this::early);
        }
        read(in.writableBuffer());
      } else if (answer.status() >= 200) {
        answered(answer);
      } else {
        onRead(0);
      }
    } catch (MalformedMessageException e) {
      breakOff();
    }
  }

  /**
   * An answer of unknown length comes slowly: it may be a long one, which is timed by its first
   * bytes.
   */
  private void early() {
    try {
      if (holding && carried != null && in.isOpenEnded()) {
        answered(in.nextWithPartialBody());
      }
    } catch (MalformedMessageException e) {
      breakOff();
    }
  }

  private void answered(Response answer) {
    holding = false;
    loop.cancel(deadline);
    keep = answer.keepAlive() && !isWriting() && body == null;
    BackendAttempt d = carried;
    if (in.isStreamingBody() && answer.status() == 200) {
      carried = null;
      passing = d.beginStreaming(answer);
      if (passing == null) {
        close();
      } else {
        stopBody();
      }
      return;
    }
    carried = null;
    boolean free = keep && !in.isMidMessage();
    if (free) {
      read(in.writableBuffer());
      backend.free(this);
    } else {
      close();
    }
    d.end(ProtocolMapping.attemptOutcome(answer), answer);
  }

  /** The client has taken what came before of a long answer. */
  void passOn() {
    if (isReading() || isClosed()) {
      return; // what is being read comes first
    }
    try {
      ByteBuffer piece = in.nextBodyPart();
      boolean last = !in.isStreamingBody();
      loop.cancel(deadline);
      if (!piece.hasRemaining() && !last) {
        deadline = loop.schedule(PAUSE, this::close);
        read(in.writableBuffer());
        return;
      }
      ResponseRelay to = passing;
      if (last) {
        passing = null;
        if (keep && !in.isMidMessage()) {
          read(in.writableBuffer());
          backend.free(this);
        } else {
          close();
        }
      }
      to.forward(piece, last);
    } catch (MalformedMessageException e) {
      close();
    }
  }

  private void breakOff() {
    if (carried != null && isWriting()) {
      broken = true;
      close();
    } else {
      finish(body != null ? AttemptOutcome.NO_CONNECT : AttemptOutcome.RESET);
    }
  }

  private void finish(AttemptOutcome how) {
    BackendAttempt d = carried;
    carried = null;
    close();
    if (d != null) {
      d.end(how, null);
    }
  }

  private void stopBody() {
    if (body != null) {
      body.detach(this);
      body = null;
    }
  }

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    super.close();
    loop.cancel(deadline);
    dialler.closed(this);
    backend.closed(this);
    if (body != null) {
      body.detach(this);
    }
    if (passing != null) {
      passing.onBackendClosed();
    }
    if (dialling) {
      dialling = false;
      backend.dialFailed(this);
    }
  }
}
