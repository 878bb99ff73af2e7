package wheattrack.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A growing sequence of bytes to which bytes are appended at the end and from which they are
 * removed at the start. Not thread-safe.
 */
final class ByteAccumulator {
  private static final int DEFAULT_CAPACITY = 256;

  /** The capacity up to which it grows ahead of what it holds. */
  private final int maxCapacity;

  private byte[] bytes;
  private int size;

  ByteAccumulator() {
    this(DEFAULT_CAPACITY, Integer.MAX_VALUE);
  }

  ByteAccumulator(int initialCapacity, int maxCapacity) {
    bytes = new byte[initialCapacity];
    this.maxCapacity = maxCapacity;
  }

  /** Creates one for a sequence that is known not to exceed this size. */
  static ByteAccumulator ofMaxSize(int maxSize) {
    return new ByteAccumulator(Math.min(DEFAULT_CAPACITY, maxSize), maxSize);
  }

  int size() {
    return size;
  }

  /** Appends the next {@code count} bytes of the buffer. */
  void append(ByteBuffer source, int count) {
    if (size + count > bytes.length) {
      long doubled = Math.min(maxCapacity, 2L * bytes.length);
      bytes = Arrays.copyOf(bytes, (int) Math.max(size + count, doubled));
    }
    source.get(bytes, size, count);
    size += count;
  }

  /** The number of bytes for which memory is allocated. */
  int capacity() {
    return bytes.length;
  }

  /** A copy of the first bytes, {@code maxCount} at most. */
  byte[] copyOfStart(int maxCount) {
    return Arrays.copyOf(bytes, Math.min(maxCount, size));
  }

  /** All bytes, not copied where they fill the memory; this must not be used afterwards. */
  byte[] takeBytes() {
    return size == bytes.length ? bytes : copyOfStart(size);
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
