package wheattrack.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Bytes put one after another. */
final class ByteStrings {
  private byte[] bytes;
  private int size;

  ByteStrings() {
    this(256);
  }

  ByteStrings(int room) {
    bytes = new byte[room];
  }

  int size() {
    return size;
  }

  void add(ByteBuffer from, int n) {
    if (size + n > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(size + n, 2 * bytes.length));
    }
    from.get(bytes, size, n);
    size += n;
  }

  byte[] all() {
    return Arrays.copyOf(bytes, size);
  }

  /** All, to read from; the bytes themselves. */
  ByteBuffer buffer() {
    return ByteBuffer.wrap(bytes, 0, size);
  }

  byte at(int i) {
    return bytes[i];
  }

  /** Takes out the first n bytes. */
  byte[] take(int n) {
    byte[] first = Arrays.copyOf(bytes, n);
    System.arraycopy(bytes, n, bytes, 0, size - n);
    size -= n;
    return first;
  }
}
