package wheattrack.http;

import java.nio.ByteBuffer;

/** Undoes the chunked coding, byte by byte as it comes. */
final class ChunkedDecoder {
  private static final int MOST_TRAILERS = 4096;

  private enum At {
    SIZE,
    EXTENSION,
    DATA,
    DATA_END,
    TRAILER,
    TRAILER_LINE,
    ENDED
  }

  private At at = At.SIZE;
  private long left;
  private int digits;
  private int trailers;

  boolean ended() {
    return at == At.ENDED;
  }

  /**
   * Takes in's bytes up to its limit or the body's end and puts the data into out until it is full.
   */
  void decode(ByteBuffer in, ByteStrings out, int most) throws MalformedMessageException {
    while (in.hasRemaining() && at != At.ENDED) {
      if (at == At.DATA) {
        int n = (int) Math.min(Math.min(left, in.remaining()), most - out.size());
        if (n == 0) {
          return;
        }
        out.add(in, n);
        left -= n;
        at = left == 0 ? At.DATA_END : At.DATA;
        continue;
      }
      int c = in.get() & 0xff;
      switch (at) {
        case SIZE -> size(c);
        case EXTENSION -> lineEnd(c);
        case DATA_END -> {
          if (c == '\n') {
            at = At.SIZE;
            digits = 0;
            trailers = 0;
          } else if (c != '\r') {
            throw new MalformedMessageException(400, "a chunk longer than its size");
          }
        }
        case TRAILER -> at = c == '\n' ? At.ENDED : c == '\r' ? At.TRAILER : At.TRAILER_LINE;
        default -> at = c == '\n' ? At.TRAILER : At.TRAILER_LINE;
      }
      if ((at == At.TRAILER_LINE || at == At.EXTENSION) && ++trailers > MOST_TRAILERS) {
        throw new MalformedMessageException(400, "too much beside the chunks");
      }
    }
  }

  private void size(int c) throws MalformedMessageException {
    int digit = Character.digit(c, 16);
    if (digit >= 0 && ++digits <= 8) {
      left = 16 * left + digit;
    } else if (digits == 0 || digits > 8 || c != ';' && c != '\r' && c != '\n' && c != ' ') {
      throw new MalformedMessageException(400, "bad chunk size");
    } else {
      at = At.EXTENSION;
      lineEnd(c);
    }
  }

  private void lineEnd(int c) {
    if (c == '\n') {
      at = left == 0 ? At.TRAILER : At.DATA;
    }
  }
}
