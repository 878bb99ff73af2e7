package wheattrack.lab.referee;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Ledgers on disk: a line an entry, ended by the CRC32C of what stands before it, so that a line
 * that was not written whole shows. Append only. A writer belongs to one thread, or to callers that
 * take turns.
 */
public final class Ledger {
  /** A ledger that can't be judged: cut off, torn or not ours. The run it is of says nothing. */
  public static final class Void extends IOException {
    private static final long serialVersionUID = 1;

    Void(String message) {
      super(message);
    }
  }

  /** Writes one file; each entry is written out at once where sure, else a block at a time. */
  public static final class Out implements Consumer<LedgerRecord>, AutoCloseable {
    private final Writer out;
    private final boolean sure;

    public Out(Path file, boolean sure) throws IOException {
      out =
          new BufferedWriter(
              Files.newBufferedWriter(
                  file, StandardCharsets.US_ASCII, StandardOpenOption.CREATE_NEW),
              1 << 16);
      this.sure = sure;
    }

    @Override
    public synchronized void accept(LedgerRecord e) {
      try {
        out.write(line(e));
        if (sure) {
          out.flush();
        }
      } catch (IOException failed) {
        throw new UncheckedIOException(failed);
      }
    }

    @Override
    public synchronized void close() throws IOException {
      out.close();
    }
  }

  private Ledger() {}

  static String line(LedgerRecord e) {
    String text =
        e.kind().name()
            + ' '
            + e.at()
            + ' '
            + e.req()
            + ' '
            + e.proxy()
            + ' '
            + e.server()
            + ' '
            + e.time()
            + ' '
            + e.figure()
            + ' '
            + e.code();
    return text + ' ' + Long.toHexString(sum(text)) + '\n';
  }

  private static long sum(String text) {
    CRC32C crc = new CRC32C();
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    crc.update(bytes, 0, bytes.length);
    return crc.getValue();
  }

  /** One writer's entries by the conductor's clock; void where its last line is missing or torn. */
  public static List<LedgerRecord> read(Path file) throws IOException {
    List<LedgerRecord> out = new ArrayList<>();
    long shift = 0;
    String text = Files.readString(file, StandardCharsets.US_ASCII);
    if (!text.isEmpty() && !text.endsWith("\n")) {
      throw new Void(file.getFileName() + ": torn at its end");
    }
    int number = 0;
    for (String line : text.isEmpty() ? new String[0] : text.split("\n")) {
      LedgerRecord e = entry(file.getFileName() + ":" + ++number, line);
      if (e.kind() == LedgerRecord.Kind.CLOCK) {
        shift = e.at() - e.time();
      } else {
        out.add(e.shifted(shift));
      }
    }
    if (out.isEmpty() || out.get(out.size() - 1).kind() != LedgerRecord.Kind.END) {
      throw new Void(file.getFileName() + ": has no end");
    }
    return out;
  }

  private static LedgerRecord entry(String where, String line) throws Void {
    int cut = line.lastIndexOf(' ');
    String[] f = line.split(" ");
    try {
      if (f.length == 9 && Long.toHexString(sum(line.substring(0, cut))).equals(f[8])) {
        return new LedgerRecord(
            LedgerRecord.Kind.valueOf(f[0]),
            Long.parseLong(f[1]),
            Long.parseLong(f[2]),
            Integer.parseInt(f[3]),
            Integer.parseInt(f[4]),
            Long.parseLong(f[5]),
            Double.parseDouble(f[6]),
            Integer.parseInt(f[7]));
      }
    } catch (IllegalArgumentException bad) {
      // said below
    }
    throw new Void(where + ": torn");
  }

  /** All writers' entries of a run in one order of time; those of one moment stay by writer. */
  public static List<LedgerRecord> merge(List<Path> files) throws IOException {
    List<LedgerRecord> all = new ArrayList<>();
    for (Path file : files) {
      all.addAll(read(file));
    }
    all.sort(Comparator.comparingLong(LedgerRecord::at));
    return all;
  }
}
