package wheattrack.net;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.EventLoop;
import wheattrack.aio.TcpConnection;
import wheattrack.core.MinimumTransferRate;
import wheattrack.core.TimerQueue;
import wheattrack.http.Encoder;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;

/** One client connection; it has one req open at a time. */
final class ClientConnection extends TcpConnection {
  /** How long a part of an answer may take to go, or a closing client to close. */
  private static final long STALL = 100_000, LINGER = 10_000;

  /** For a whole head, from connecting or from its first byte; and for resting. */
  private static final long HEAD = 24_000, REST = 20_500;

  /** For a whole head while all places are taken and others wait to come in. */
  static final long HEAD_AMID_CROWD = HEAD / 3;

  /**
   * Bytes read ahead while a req is open, so that its client's leaving is seen: in general, of its
   * own long body until that is first asked for, and by one read, usually and of a body.
   */
  private static final int AHEAD = 32 * 1024,
      BODY_AHEAD = 1 << 20,
      ASIDE = 4 * 1024,
      WIDE = 16 * 1024;

  /** Ranks of those who give way only where nobody else does, and who do not. */
  static final int SLOW = 3, NOT_AT_ALL = 4;

  /** How long a connection that has asked nothing yet is no first choice to give way. */
  private static final long FRESH = 2_560;

  /** Who takes the pieces of a long body, one for each time it asks. */
  interface Taker {
    void piece(ByteBuffer bytes, boolean last);
  }

  private final ClientListener front;
  private final int slot;
  private final RequestDecoder in;
  private final MinimumTransferRate pace = new MinimumTransferRate();
  private boolean busy;
  private boolean keep;
  private boolean unread;
  private boolean lingering;
  private boolean interim;
  private boolean asked;
  private boolean resting;
  private boolean inBody, pulled;
  private Taker taker;
  private ResponseRelay passing;
  private TimerQueue.Timer stall;
  private long idleSince, headSince;
  private long discarded;
  private boolean bare;
  private Runnable onDisconnect;

  /** What a read fills while the inbox is taken from, or null. */
  private ByteBuffer aside;

  /**
   * Of what is read ahead, so much is counted with the front's; and whether some of it was dropped.
   */
  private int counted;

  private boolean spilt;

  /** The last piece of a long body, until what else has come is heard: its client may have left. */
  private ByteBuffer lastPiece;

  ClientConnection(ClientListener front, EventLoop loop, AsynchronousSocketChannel channel) {
    super(loop, channel);
    this.front = front;
    in = new RequestDecoder(front.maxBodyBytes());
    slot = front.register(this);
    idleSince = headSince = loop.now();
  }

  long idleSince() {
    return idleSince;
  }

  /**
   * Bad clients, silent, dripping or half-said, held a place for 10 s or for good: this ends them.
   */
  void start() {
    expire(HEAD, this::tooLate);
    read(in.writableBuffer());
  }

  /**
   * To be done after so long, unless calm() comes first or what has come by then says otherwise.
   */
  private void expire(long time, Runnable then) {
    TimerQueue.Timer[] mine = new TimerQueue.Timer[1];
    mine[0] =
        loop.schedule(
            time,
            () ->
                loop.execute(
                    () -> {
                      if (stall == mine[0]) {
                        then.run();
                      }
                    }));
    stall = mine[0];
  }

  /** Makes room for another, unless it has asked something by now. */
  void evict() {
    loop.execute(
        () -> {
          if (rank() < NOT_AT_ALL) {
            close();
          }
        });
  }

  private void tooLate() {
    if (in.isMidMessage()) {
      refuse(408, "the request did not come whole");
    } else {
      close();
    }
  }

  /** At rest; one that has just connected is about to ask. */
  boolean isIdle() {
    return !busy && !lingering && !in.isMidMessage() && (asked || loop.now() - idleSince > FRESH);
  }

  /**
   * How soon it gives way: 0 turned away, 1 still asks nothing, 2 at rest, 3 slow with a head, or
   * not.
   */
  int rank() {
    boolean mute = !asked && loop.now() - idleSince > FRESH;
    return lingering
        ? 0
        : busy
            ? NOT_AT_ALL
            : isSlow() ? SLOW : mute && !in.isMidMessage() ? 1 : in.isMidMessage() ? NOT_AT_ALL : 2;
  }

  /**
   * Half a head for longer than may be while others wait: a crowd of such held all places for 2.4
   * s.
   */
  private boolean isSlow() {
    return in.isMidMessage() && !in.isInBody() && loop.now() - headSince > HEAD_AMID_CROWD;
  }

  /** Whether a request of it is open. */
  boolean hasOpenRequest() {
    return busy && !lingering;
  }

  @Override
  protected void onRead(int n) {
    if (n < 0) {
      close();
      return;
    }
    if (inBody) {
      pace.received(loop.now(), n);
    }
    takeAside();
    if (lingering) {
      in.writableBuffer().clear();
      discarded += n;
      if (in.isStreamingBody() && discarded < front.maxBodyBytes()) {
        waitFor(LINGER); // a long body still comes: its client reads only after it
      }
    } else if (taker != null && lastPiece == null) {
      deliver();
    } else if (!busy) {
      advance();
    }
    readOn();
  }

  private void takeAside() {
    if (aside == null) {
      return;
    }
    ByteBuffer bytes = aside.flip();
    aside = null;
    spilt |=
        onDisconnect != null
            && !in.isStreamingBody()
            && in.bufferedBytes() + bytes.remaining() > AHEAD;
    if (!lingering && !spilt) {
      in.append(bytes);
      count();
    }
  }

  private void count() {
    front.addReadAheadBytes(in.bufferedBytes() - counted);
    counted = in.bufferedBytes();
  }

  /**
   * Reads on, for the next bytes or the client's leaving. While bytes wait that nobody asks for
   * yet, others are read ahead, apart from them: clients that left with bytes behind their req were
   * not seen to leave.
   */
  private void readOn() {
    if (isClosed() || isReading()) {
      return;
    }
    boolean held =
        busy && !lingering && taker == null && (in.bufferedBytes() > 0 || in.isStreamingBody());
    if (!held) {
      read(in.writableBuffer());
    } else if (in.bufferedBytes() < AHEAD
        || onDisconnect != null
            && (!in.isStreamingBody()
                || !pulled && in.bufferedBytes() < BODY_AHEAD && front.mayReadAhead())) {
      aside = ByteBuffer.allocate(in.isStreamingBody() ? WIDE : ASIDE);
      read(aside);
    }
  }

  /** Whether the inbox may be taken from: no read fills it. */
  private boolean mayTake() {
    return !isReading() || aside != null;
  }

  private void advance() {
    try {
      Request request = in.next();
      if (request != null) {
        busy = true;
        asked = true;
        bare = request.method().equals("HEAD");
        if (in.isStreamingBody() && !inBody) {
          pace.start(loop.now());
        }
        inBody = in.isStreamingBody();
        pulled = false;
        pace.pause(loop.now());
        calm();
        readOn();
        loop.execute(
            () -> { // if its client has left by now, that is heard first
              if (!isClosed()) {
                front.onRequest(this, request);
                readOn();
              }
            });
      } else if (in.isInBody()) {
        if (!inBody) {
          inBody = true;
          pace.start(loop.now());
        }
        waitFor(pace.remaining(loop.now()));
        if (in.expectsContinue()) {
          goOn();
        }
      } else if (in.isMidMessage() && (stall == null || resting)) {
        headSince = loop.now();
        waitFor(HEAD);
      }
    } catch (MalformedMessageException e) {
      refuse(e.status, e.getMessage());
    }
  }

  private void goOn() {
    interim = true;
    write(Encoder.continueResponse());
  }

  private void waitFor(long time) {
    calm();
    expire(time, lingering ? this::close : this::tooLate);
  }

  private void calm() {
    loop.cancel(stall);
    stall = null;
    resting = false;
  }

  private void refuse(int status, String why) {
    front.logErrorResponse(status, why);
    Runnable left = onDisconnect;
    onDisconnect = null;
    if (left != null) { // the req that its body was to belong to
      left.run();
    }
    busy = true;
    unread = true;
    sendResponse(ProtocolMapping.plain(status, why, false));
  }

  /** What is to be done should the client leave before its answer, or end it by a broken body. */
  void onDisconnect(Runnable then) {
    onDisconnect = then;
  }

  // ---- a long body

  /** Asks for the next piece of the body, or, with null, for none any more. */
  void requestBodyPart(Taker by) {
    if (by == null) {
      taker = null;
      if (in.isStreamingBody() && passing == null) {
        pace.pause(loop.now());
        calm();
      }
      return;
    }
    taker = by;
    pulled = true;
    pace.resume(loop.now());
    waitFor(pace.remaining(loop.now()));
    if (lastPiece != null) {
      loop.execute(this::giveLast);
    } else if (mayTake()) { // else it comes, with what that read brings
      deliver();
      readOn();
    }
  }

  private void giveLast() {
    if (lastPiece != null && taker != null) { // else it has left, or nobody asks just now
      ByteBuffer piece = lastPiece;
      lastPiece = null;
      give(piece, true);
    }
  }

  private void give(ByteBuffer piece, boolean last) {
    Taker to = taker;
    taker = null;
    pace.pause(loop.now());
    calm();
    to.piece(piece, last);
  }

  private void deliver() {
    try {
      ByteBuffer piece = in.nextBodyPart();
      count();
      inBody = in.isStreamingBody();
      if (!inBody) {
        lastPiece = piece;
        readOn();
        loop.execute(this::giveLast);
      } else if (piece.hasRemaining()) {
        give(piece, false);
      } else {
        waitFor(pace.remaining(loop.now()));
      }
    } catch (MalformedMessageException e) {
      taker = null;
      refuse(e.status, e.getMessage());
    }
  }

  // ---- the answer

  /** The one answer to the request that is open; more of it may follow by begin(). */
  void sendResponse(Response response) {
    onDisconnect = null;
    if (isClosed()) {
      return;
    }
    Response last = bare ? response.withoutBody() : response;
    if (in.isStreamingBody() || spilt) { // what is still to come of its body nobody will read
      unread = true;
      last = last.closingConnection();
    }
    keep = last.keepAlive();
    calm();
    stall = loop.schedule(STALL, this::close);
    write(Encoder.response(last));
  }

  /** The head and first bytes of a long answer; what follows comes by the passing. */
  void sendStreamedResponse(Response head, ResponseRelay rest) {
    sendResponse(head);
    passing = rest;
  }

  /** A further part of a long answer. */
  void sendResponsePart(ByteBuffer bytes) {
    if (!isClosed()) {
      calm();
      stall = loop.schedule(STALL, this::close);
      write(bytes);
    }
  }

  @Override
  protected void onWritten(boolean whole) {
    if (isClosed()) {
      return;
    }
    if (interim) {
      interim = false;
      return;
    }
    calm();
    if (whole && passing != null) {
      if (!passing.taken()) {
        return;
      }
      passing = null;
    }
    if (!whole || !keep && !unread) {
      close();
    } else if (keep) {
      busy = false;
      inBody = false;
      idleSince = loop.now();
      expire(REST, this::close);
      resting = true;
      if (mayTake()) {
        advance();
        readOn();
      }
    } else { // what it goes on sending would reset the answer
      lingering = true;
      stall = loop.schedule(LINGER, this::close);
      shutdownOutput();
      readOn();
    }
  }

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    super.close();
    calm();
    front.onClosed(slot);
    front.addReadAheadBytes(-counted);
    taker = null;
    lastPiece = null;
    if (passing != null) {
      passing.left();
    } else if (onDisconnect != null) {
      onDisconnect.run();
    }
  }
}
