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
  static final long STALL_TIMEOUT = 100_000;

  private final BackendConnectionPool backend;
  private final Connector dialler;
  private final ResponseDecoder in;

  /** Where it leads, and since when. */
  final InetSocketAddress remoteAddress;

  final long openedAt;
  private BackendAttempt currentAttempt, writing;

  /** Of a long body what is still to be written, and whether it goes in chunks. */
  private RequestBodyRelay body;

  private boolean chunks;

  /** A long answer that is being passed on, and whether the connection may serve after it. */
  private ResponseRelay passing;

  private boolean keep;
  private boolean dialling;
  private boolean resting;
  private long idleSince, usableFrom;
  private boolean broken, holding;
  private TimerQueue.Timer deadline;
  int slot;

  BackendConnection(
      BackendConnectionPool backend, AsynchronousSocketChannel channel, Connector dialler) {
    super(backend.loop, channel);
    this.backend = backend;
    this.dialler = dialler;
    in = new ResponseDecoder(dialler.maxBodyBytes);
    remoteAddress = backend.address;
    openedAt = loop.now();
  }

  BackendAttempt currentAttempt() {
    return currentAttempt;
  }

  void startConnecting(long timeout) {
    dialling = true;
    deadline = loop.schedule(timeout, this::onConnectFailed);
    connect(remoteAddress, this::onConnected, this::onConnectFailed);
  }

  private void onConnected() {
    if (dialling && !isClosed()) {
      dialling = false;
      loop.cancel(deadline);
      read(in.writableBuffer());
      backend.onConnected(this);
    }
  }

  private void onConnectFailed() {
    if (dialling) {
      close();
    }
  }

  void send(BackendAttempt d) {
    loop.cancel(deadline);
    resting = false;
    currentAttempt = writing = d;
    d.on = this;
    d.begun = loop.now();
    Request request = d.request();
    body = d.body();
    chunks = request.remainingBody() == Decoder.CHUNKED;
    in.expectNoBody(request.method().equals("HEAD"));
    write(Encoder.request(request));
  }

  boolean isIdle() {
    return resting;
  }

  long idleSince() {
    return idleSince;
  }

  /** From when on it may carry a dispatch. */
  long usableFrom() {
    return usableFrom;
  }

  /**
   * Whether it has rested so long that it should be closed by now, and its backend may have done
   * so.
   */
  boolean hasExceededIdleTimeout() {
    return dialler.idleTimeout > 0 && loop.now() - idleSince >= dialler.idleTimeout;
  }

  /** Stands idle, for so long only to settle; closed well before the backend would do so. */
  void becomeIdle(long settle) {
    resting = true;
    idleSince = loop.now();
    usableFrom = idleSince + settle;
    restartIdleTimeout();
  }

  /** Rests on, no longer than connections may rest now. */
  void restartIdleTimeout() {
    loop.cancel(deadline);
    if (dialler.idleTimeout > 0) {
      deadline = loop.schedule(idleSince + dialler.idleTimeout - loop.now(), this::close);
    }
  }

  /** A further piece of a long body. */
  void sendBodyPart(ByteBuffer bytes, boolean last) {
    if (last) {
      body = null;
    } else {
      currentAttempt.waits(STALL_TIMEOUT);
    }
    write(chunks ? Encoder.chunk(bytes, last) : bytes);
  }

  @Override
  protected void onWritten(boolean whole) {
    if (whole && writing != null && body == null) {
      writing.written();
      writing = null;
    }
    if (currentAttempt == null || passing != null) {
      return;
    }
    if (broken || !whole) {
      finish(whole && body == null ? AttemptOutcome.RESET : AttemptOutcome.NO_CONNECT);
    } else if (body != null) {
      body.pull(this);
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
        relayNextPart();
      }
      return;
    }
    if (n < 0 && !ended || currentAttempt == null) {
      breakOff();
      return;
    }
    try {
      Response answer = in.next();
      if (answer == null) {
        if (in.isOpenEnded() && !holding) {
          holding = true;
          deadline = loop.schedule(currentAttempt.holds(), this::early);
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
      if (holding && currentAttempt != null && in.isOpenEnded()) {
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
    BackendAttempt d = currentAttempt;
    if (in.isStreamingBody() && answer.status() == 200) {
      currentAttempt = null;
      passing = d.begin(answer);
      if (passing == null) {
        close();
      } else {
        stopBody();
      }
      return;
    }
    currentAttempt = null;
    boolean free = keep && !in.isMidMessage();
    if (free) {
      read(in.writableBuffer());
      backend.release(this);
    } else {
      close();
    }
    d.end(ProtocolMapping.outcome(answer), answer);
  }

  /** The client has taken what came before of a long answer. */
  void relayNextPart() {
    if (isReading() || isClosed()) {
      return; // what is being read comes first
    }
    try {
      ByteBuffer piece = in.nextBodyPart();
      boolean last = !in.isStreamingBody();
      loop.cancel(deadline);
      if (!piece.hasRemaining() && !last) {
        deadline = loop.schedule(STALL_TIMEOUT, this::close);
        read(in.writableBuffer());
        return;
      }
      ResponseRelay to = passing;
      if (last) {
        passing = null;
        if (keep && !in.isMidMessage()) {
          read(in.writableBuffer());
          backend.release(this);
        } else {
          close();
        }
      }
      to.piece(piece, last);
    } catch (MalformedMessageException e) {
      close();
    }
  }

  private void breakOff() {
    if (currentAttempt != null && isWriting()) {
      broken = true;
      close();
    } else {
      finish(body != null ? AttemptOutcome.NO_CONNECT : AttemptOutcome.RESET);
    }
  }

  private void finish(AttemptOutcome how) {
    BackendAttempt d = currentAttempt;
    currentAttempt = null;
    close();
    if (d != null) {
      d.end(how, null);
    }
  }

  private void stopBody() {
    if (body != null) {
      body.stop(this);
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
    dialler.onClosed(this);
    backend.onClosed(this);
    if (body != null) {
      body.stop(this);
    }
    if (passing != null) {
      passing.broken();
    }
    if (dialling) {
      dialling = false;
      backend.onConnectFailed(this);
    }
  }
}
