package wheattrack.lab.scale;

/** Bytes in the units in which memory and files are reported. */
final class ByteUnits {
  static final long KIB = 1L << 10;
  static final long MIB = 1L << 20;
  static final long GIB = 1L << 30;

  private ByteUnits() {}
}
