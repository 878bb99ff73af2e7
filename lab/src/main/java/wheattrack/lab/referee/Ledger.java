package wheattrack.lab.referee;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The form of ledgers on disk: a line for each record, ended by the CRC32C of the text before it,
 * so that an incomplete line shows. {@link LedgerWriter} writes them.
 */
public final class Ledger {
  private static final int FIELDS = 9;

  private Ledger() {}

  /** One record as a line of the ledger, its newline included. */
  static String format(LedgerRecord entry) {
    String text =
        entry.kind().keyword()
            + ' '
            + entry.at()
            + ' '
            + entry.request()
            + ' '
            + entry.proxy()
            + ' '
            + entry.backend()
            + ' '
            + entry.time()
            + ' '
            + entry.amount()
            + ' '
            + entry.code();
    return text + ' ' + checksum(text) + '\n';
  }

  private static String checksum(String text) {
    CRC32C crc = new CRC32C();
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    crc.update(bytes, 0, bytes.length);
    return Long.toHexString(crc.getValue());
  }

  /**
   * One writer's records, their times by the run's clock. Throws InvalidLedgerException where a
   * line is corrupt or the last one is missing, and IOException if the file can't be read.
   */
  public static List<LedgerRecord> read(Path file) throws IOException {
    String text = Files.readString(file, StandardCharsets.US_ASCII);
    if (!text.isEmpty() && !text.endsWith("\n")) {
      throw new InvalidLedgerException(file.getFileName() + ": torn at its end");
    }
    List<LedgerRecord> records = new ArrayList<>();
    long clockOffset = 0;
    int lineNumber = 0;
    for (String line : text.isEmpty() ? new String[0] : text.split("\n")) {
      lineNumber++;
      LedgerRecord entry = parse(file.getFileName() + ":" + lineNumber, line);
      if (entry.kind() == LedgerRecord.Kind.CLOCK) {
        clockOffset = entry.at() - entry.writerTime();
      } else {
        records.add(entry.shifted(clockOffset));
      }
    }
    if (records.isEmpty() || records.get(records.size() - 1).kind() != LedgerRecord.Kind.END) {
      throw new InvalidLedgerException(file.getFileName() + ": has no end");
    }
    return records;
  }

  private static LedgerRecord parse(String place, String line) throws InvalidLedgerException {
    String[] fields = line.split(" ");
    String checked = line.substring(0, Math.max(0, line.lastIndexOf(' ')));
    if (fields.length != FIELDS || !checksum(checked).equals(fields[FIELDS - 1])) {
      throw new InvalidLedgerException(place + ": torn");
    }
    try {
      return new LedgerRecord(
          LedgerRecord.Kind.of(fields[0]),
          Long.parseLong(fields[1]),
          Long.parseLong(fields[2]),
          Integer.parseInt(fields[3]),
          Integer.parseInt(fields[4]),
          Long.parseLong(fields[5]),
          Double.parseDouble(fields[6]),
          Integer.parseInt(fields[7]));
    } catch (IllegalArgumentException e) {
      throw new InvalidLedgerException(place + ": torn");
    }
  }

  /** All writers' records of a run in order of time; those of one moment stay in file order. */
  public static List<LedgerRecord> merge(List<Path> files) throws IOException {
    List<LedgerRecord> records = new ArrayList<>();
    for (Path file : files) {
      records.addAll(read(file));
    }
    records.sort(Comparator.comparingLong(LedgerRecord::at));
    return records;
  }
}
