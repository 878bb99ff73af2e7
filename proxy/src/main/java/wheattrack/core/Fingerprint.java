package wheattrack.core;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** Checksums of 64 bits that tell different bodies, or different ids, apart. */
public final class Fingerprint {
  private Fingerprint() {}

  /** The fingerprint of the first {@code length} bytes. */
  public static long of(byte[] bytes, int length) {
    CRC32 high = new CRC32();
    high.update(bytes, 0, length);
    CRC32C low = new CRC32C();
    low.update(bytes, 0, length);
    return high.getValue() << Integer.SIZE | low.getValue();
  }

  /** The fingerprint of a complete body. */
  public static long of(byte[] body) {
    return of(body, body.length);
  }
}
