package wheattrack.http;

import java.nio.ByteBuffer;

/**
 * Decodes the bodies of one connection, one after another, each by its framing. Runs on the event
 * loop's thread only.
 */
final class BodyDecoder {
  private BodyFraming framing = BodyFraming.EMPTY;
  private ChunkedDecoder chunkedDecoder; // null unless the body is chunked
  private long remainingBytes; // valid for a body of known length only
  private long decodedBytes;
  private boolean hasConnectionEnded; // set for a body that ends with its connection only

  /** Begins the next body. */
  void start(BodyFraming bodyFraming) {
    framing = bodyFraming;
    chunkedDecoder = bodyFraming.isChunked() ? new ChunkedDecoder() : null;
    remainingBytes = bodyFraming.length();
    decodedBytes = 0;
    hasConnectionEnded = false;
  }

  /** Releases the decoder of a chunked body once the body is complete. */
  void end() {
    chunkedDecoder = null;
  }

  /** Decodes received bytes of the body until {@code data} holds {@code maxSize} bytes. */
  void decode(ByteBuffer received, ByteAccumulator data, int maxSize)
      throws MalformedMessageException {
    int sizeBefore = data.size();
    if (framing.isChunked()) {
      chunkedDecoder.decode(received, data, maxSize);
    } else {
      copy(received, data, maxSize);
    }
    decodedBytes += data.size() - sizeBefore;
  }

  private void copy(ByteBuffer received, ByteAccumulator data, int maxSize) {
    long count = Math.min(received.remaining(), maxSize - data.size());
    if (framing.hasKnownLength()) {
      count = Math.min(count, remainingBytes);
    }
    data.append(received, (int) count);
    remainingBytes -= count;
  }

  /**
   * Whether the body was decoded to its end.
   *
   * @param undecodedBytes the number of bytes received and not decoded yet
   */
  boolean isComplete(int undecodedBytes) {
    return switch (framing.kind()) {
      case NONE, FIXED_LENGTH -> remainingBytes == 0;
      case CHUNKED -> chunkedDecoder.isEnded();
      case UNTIL_CLOSE -> hasConnectionEnded && undecodedBytes == 0;
    };
  }

  /**
   * Notes that the peer has closed its side of the connection; returns whether that is a valid end
   * of the body.
   */
  boolean endOfStream() {
    hasConnectionEnded = framing.isUntilClose();
    return hasConnectionEnded;
  }

  /** The framing of the part of an incomplete body that is not decoded yet. */
  BodyFraming remaining() {
    return framing.hasKnownLength() ? BodyFraming.fixedLength(remainingBytes) : framing;
  }

  /** The framing of the complete body. */
  BodyFraming framing() {
    return framing;
  }

  /** The number of bytes of the body decoded so far. */
  long decodedBytes() {
    return decodedBytes;
  }

  /** The number of bytes still to be decoded; valid for a body of known length only. */
  long remainingBytes() {
    return remainingBytes;
  }
}
