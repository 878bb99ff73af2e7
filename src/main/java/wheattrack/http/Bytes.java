package wheattrack.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Bytes put one after another. */
final class Bytes {
    private byte[] bytes = new byte[256];
    private int size;

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

    /** Takes out the bytes up to the first line feed, without it, or null. */
    byte[] line() {
        for (int i = 0; i < size; i++) {
            if (bytes[i] == '\n') {
                byte[] line = Arrays.copyOf(bytes, i);
                System.arraycopy(bytes, i + 1, bytes, 0, size - i - 1);
                size -= i + 1;
                return line;
            }
        }
        return null;
    }
}
