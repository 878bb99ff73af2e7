package wheattrack.statistics;

import java.util.zip.CRC32;

/**
 * Reproducible random numbers: the CRC-32 of the seed and a counter. The same seed gives the same
 * sequence in every version of the program. Not thread-safe.
 */
public final class SeededRandom {
  /** The number of values of a CRC-32: 2^32. */
  private static final double CRC_VALUES = 4294967296.0;

  private final CRC32 crc = new CRC32();
  private final byte[] seedAndCounter = new byte[2 * Long.BYTES];
  private long draws;

  /** Creates a generator for a seed. */
  public SeededRandom(long seed) {
    put(seed, 0);
  }

  /** The next number, uniformly distributed over [0, 1). */
  public double draw() {
    put(++draws, Long.BYTES);
    crc.reset();
    crc.update(seedAndCounter, 0, seedAndCounter.length);
    return crc.getValue() / CRC_VALUES;
  }

  private void put(long value, int offset) {
    for (int i = 0; i < Long.BYTES; i++) {
      seedAndCounter[offset + i] = (byte) (value >> (Byte.SIZE * i));
    }
  }
}
