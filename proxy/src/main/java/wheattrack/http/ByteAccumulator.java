package wheattrack.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A growing sequence of bytes to which bytes are appended at the end and from which they are
 * removed at the start. Not thread-safe.
 */
final class ByteAccumulator {
  private static final int DEFAULT_CAPACITY = 256;

  private byte[] bytes;
  private int size;

  ByteAccumulator() {
    this(DEFAULT_CAPACITY);
  }

  ByteAccumulator(int initialCapacity) {
    bytes = new byte[initialCapacity];
  }

  int size() {
    return size;
  }

  /** Appends the next {@code count} bytes of the buffer. */
  void append(ByteBuffer source, int count) {
    if (size + count > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(size + count, 2 * bytes.length));
    }
    source.get(bytes, size, count);
    size += count;
  }

  byte[] toByteArray() {
    return Arrays.copyOf(bytes, size);
  }

  /** All bytes as a view, not a copy: nothing may be appended or removed until they are read. */
  ByteBuffer asBuffer() {
    return ByteBuffer.wrap(bytes, 0, size);
  }

  byte get(int index) {
    return bytes[index];
  }

  /** Removes the first {@code count} bytes and returns them. */
  byte[] removeFirst(int count) {
    byte[] first = Arrays.copyOf(bytes, count);
    System.arraycopy(bytes, count, bytes, 0, size - count);
    size -= count;
    return first;
  }
}
