package wheattrack.net.backend;

import java.util.Arrays;
import wheattrack.core.Fingerprint;
import wheattrack.http.Response;

/**
 * The fingerprints of all responses that one connection has carried, by which a second copy of one
 * of them is recognized. Runs on the event loop's thread only.
 */
final class ResponseHistory {
  /** The most responses of one connection, which bounds the memory of its history. */
  private static final int MAX_RESPONSES = 256;

  private static final int INITIAL_CAPACITY = 4;

  /** How many bytes of the start of a response of unknown length are compared. */
  static final int PREFIX_BYTES = 64;

  private long[] fingerprints = new long[INITIAL_CAPACITY];
  private long[] prefixes = {};
  private int size;

  /** Whether the connection has carried no response yet. */
  boolean isEmpty() {
    return size == 0;
  }

  /** Whether the connection must carry no further request, as its history would be too long. */
  boolean isFull() {
    return size >= MAX_RESPONSES;
  }

  /** Adds a complete response. */
  void add(Response response, long fingerprint) {
    if (size == fingerprints.length) {
      fingerprints = Arrays.copyOf(fingerprints, 2 * size);
    }
    fingerprints[size++] = fingerprint;
    if (response.headers().first("Transfer-Encoding") != null) {
      prefixes = Arrays.copyOf(prefixes, prefixes.length + 1);
      prefixes[prefixes.length - 1] = prefixFingerprint(response.body());
    }
  }

  /** Whether an earlier response had this fingerprint. */
  boolean contains(long fingerprint) {
    return contains(fingerprints, size, fingerprint);
  }

  /**
   * Whether a response of unknown length that has begun like this may be a copy of an earlier one.
   *
   * @param startOfBody the part of its body received so far
   */
  boolean mayContainStart(byte[] startOfBody) {
    return prefixes.length > 0
        && (startOfBody.length < PREFIX_BYTES
            || contains(prefixes, prefixes.length, prefixFingerprint(startOfBody)));
  }

  private static boolean contains(long[] values, int count, long value) {
    for (int i = 0; i < count; i++) {
      if (values[i] == value) {
        return true;
      }
    }
    return false;
  }

  private static long prefixFingerprint(byte[] body) {
    return Fingerprint.of(body, Math.min(PREFIX_BYTES, body.length));
  }
}
