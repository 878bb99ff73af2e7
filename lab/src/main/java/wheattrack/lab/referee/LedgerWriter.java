package wheattrack.lab.referee;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

/** Appends records to one new ledger file. Safe for use by several threads. */
public final class LedgerWriter implements Consumer<LedgerRecord>, AutoCloseable {
  private static final int BUFFER_CHARS = 1 << 16;

  private final Writer writer;
  private final boolean flushesEachRecord;

  /**
   * Creates the file; throws IOException if it exists or can't be created.
   *
   * @param flushesEachRecord whether each record is written to the file immediately, instead of
   *     when the buffer is full
   */
  public LedgerWriter(Path file, boolean flushesEachRecord) throws IOException {
    Writer unbuffered =
        Files.newBufferedWriter(file, StandardCharsets.US_ASCII, StandardOpenOption.CREATE_NEW);
    writer = new BufferedWriter(unbuffered, BUFFER_CHARS);
    this.flushesEachRecord = flushesEachRecord;
  }

  /** Writes one record; throws UncheckedIOException if the file can't be written. */
  @Override
  public synchronized void accept(LedgerRecord entry) {
    try {
      writer.write(Ledger.format(entry));
      if (flushesEachRecord) {
        writer.flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    writer.close();
  }
}
