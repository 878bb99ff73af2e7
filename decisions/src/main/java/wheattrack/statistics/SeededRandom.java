package wheattrack.statistics;

import java.util.zip.CRC32;

/** Draws from 0 to under 1, by CRC32 over the instance's seed and a counter. */
public final class SeededRandom {
  private final CRC32 crc = new CRC32();
  private final byte[] salt = new byte[16];
  private long draws;

  public SeededRandom(long seed) {
    put(seed, 0);
  }

  private void put(long value, int at) {
    for (int i = 0; i < 8; i++) {
      salt[at + i] = (byte) (value >> 8 * i);
    }
  }

  public double draw() {
    put(++draws, 8);
    crc.reset();
    crc.update(salt, 0, 16);
    return crc.getValue() / 4294967296.0;
  }
}
