package wheattrack.net;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import wheattrack.http.Decoder;
import wheattrack.http.Encoder;

/**
 * A long answer on its way from a backend to a client, one piece at a time; it ends once, whole or
 * not.
 */
final class ResponseRelay {
  private final BackendConnection from;
  private final ClientConnection to;
  private final boolean chunks;
  private final Consumer<Boolean> ended;
  private boolean last, over;

  /** more: how it is framed for the client. ended hears at last whether it was passed on whole. */
  ResponseRelay(BackendConnection from, ClientConnection to, long more, Consumer<Boolean> ended) {
    this.from = from;
    this.to = to;
    chunks = more == Decoder.CHUNKED;
    this.ended = ended;
  }

  /** The client has taken all so far; says whether that was all there is. */
  boolean taken() {
    if (last) {
      end(true);
    } else {
      from.relayNextPart();
    }
    return last;
  }

  /** Pieces from the backend; the next is asked for when this one is taken. */
  void piece(ByteBuffer bytes, boolean isLast) {
    if (!over) {
      last = isLast;
      to.sendResponsePart(chunks ? Encoder.chunk(bytes, isLast) : bytes);
    }
  }

  /** The backend broke off: the client is shown that it has not got all. */
  void broken() {
    if (!over && !last) {
      end(false);
      to.close();
    }
  }

  /** The client has gone, or does not read on. */
  void left() {
    if (!over) {
      end(false);
      if (!last) { // else it may carry another dispatch by now
        from.close();
      }
    }
  }

  private void end(boolean whole) {
    over = true;
    ended.accept(whole);
  }
}
