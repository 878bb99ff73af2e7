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
 * The format of ledger files: a line of fields, separated by spaces, for each record. The last
 * field is the CRC32C of the text before it, in hexadecimal, so that incomplete and corrupt lines
 * are detected. {@link LedgerWriter} writes them.
 */
public final class Ledger {
  /** Fields of a line, its checksum included. */
  private static final int FIELDS = 9;

  private Ledger() {}

  /** Returns one record as a line of the ledger, its newline included. */
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
   * Reads one writer's records and converts their times to the run's clock.
   *
   * @throws InvalidLedgerException if a line is corrupt or the record END is missing
   * @throws IOException if the file can't be read
   */
  public static List<LedgerRecord> read(Path file) throws IOException {
    String text = Files.readString(file, StandardCharsets.US_ASCII);
    if (!text.isEmpty() && !text.endsWith("\n")) {
      throw new InvalidLedgerException(
          file.getFileName() + ": truncated: the last line has no newline");
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
      throw new InvalidLedgerException(
          file.getFileName() + ": truncated: expected END as the last record");
    }
    return records;
  }

  private static LedgerRecord parse(String location, String line) throws InvalidLedgerException {
    String[] fields = line.split(" ");
    String checkedText = line.substring(0, Math.max(0, line.lastIndexOf(' ')));
    if (fields.length != FIELDS || !checksum(checkedText).equals(fields[FIELDS - 1])) {
      throw new InvalidLedgerException(
          location + ": corrupt: expected " + FIELDS + " fields, the last one the others' CRC32C");
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
      throw new InvalidLedgerException(location + ": invalid field: " + e.getMessage());
    }
  }

  /**
   * Reads the records of all writers of a run, sorted by time; equal times keep the order of files.
   *
   * @throws InvalidLedgerException if a file is truncated or corrupt
   * @throws IOException if a file can't be read
   */
  public static List<LedgerRecord> merge(List<Path> files) throws IOException {
    List<LedgerRecord> records = new ArrayList<>();
    for (Path file : files) {
      records.addAll(read(file));
    }
    records.sort(Comparator.comparingLong(LedgerRecord::at));
    return records;
  }
}
