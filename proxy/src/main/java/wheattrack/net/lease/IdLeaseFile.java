package wheattrack.net.lease;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wheattrack.log.EventLog;

/**
 * The file through which the processes of one proxy share their {@link IdLeaseTable}. It is mapped
 * into memory when a process starts; requests cause no operation on the file itself. Any thread may
 * call its methods.
 */
public final class IdLeaseFile {
  /** Identifies the format of the file, whose first bytes it is. */
  private static final long FORMAT = 0x7768_6561_7469_6431L;

  /**
   * Part of the file's name; to be changed with the format, so that versions do not share files.
   */
  private static final String SUFFIX = ".ids-1";

  private IdLeaseFile() {}

  /**
   * Opens the table of the proxy at this address. If the file cannot be used, this is logged, and
   * the table is not shared.
   *
   * @param folder folder that all processes of the proxy can access
   * @param proxyAddress the proxy's listening address, from which the file's name is derived
   */
  public static IdLeaseTable open(Path folder, String proxyAddress) {
    try {
      String name = "wheattrack-" + proxyAddress.replaceAll("[^A-Za-z0-9.]", "_") + SUFFIX;
      Path file = folder.resolve(name);
      if (!Files.exists(file)) {
        create(file);
      }
      return new IdLeaseTable(map(file), System::currentTimeMillis, System.nanoTime());
    } catch (IOException | RuntimeException e) {
      EventLog.warning(
          "request ids not shared",
          null,
          "an id in use at another process of the proxy at " + proxyAddress + " is unknown: " + e);
      return IdLeaseTable.unshared();
    }
  }

  /**
   * Creates the file with all of its bytes written, so that no write to the memory meets a full
   * disk. If another process has created it meanwhile, its file stays.
   */
  private static void create(Path file) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + "." + System.nanoTime());
    try {
      Files.write(temporary, ByteBuffer.allocate(IdLeaseTable.BYTES).putLong(FORMAT).array());
      Files.createLink(file, temporary);
    } catch (FileAlreadyExistsException e) {
      EventLog.detail("request ids", null, () -> "file created by another process: " + file);
    } finally {
      Files.deleteIfExists(temporary);
    }
  }

  private static ByteBuffer map(Path file) throws IOException {
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      repair(channel, file);
      return channel.map(FileChannel.MapMode.READ_WRITE, 0, IdLeaseTable.BYTES).load();
    }
  }

  /**
   * Completes a file that is too short or does not begin with the format. What it holds otherwise
   * stays, as another process may use it: words that are no lease count as free.
   */
  private static void repair(FileChannel channel, Path file) throws IOException {
    ByteBuffer format = ByteBuffer.allocate(Long.BYTES);
    long size = channel.size();
    boolean isComplete = size >= IdLeaseTable.BYTES;
    boolean hasFormat = channel.read(format, 0) == Long.BYTES && format.getLong(0) == FORMAT;
    if (isComplete && hasFormat) {
      return;
    }
    EventLog.warning("request ids: file damaged", null, file + " is repaired");
    if (!isComplete) {
      writeFully(channel, ByteBuffer.allocate((int) (IdLeaseTable.BYTES - size)), size);
    }
    writeFully(channel, ByteBuffer.allocate(Long.BYTES).putLong(0, FORMAT), 0);
  }

  private static void writeFully(FileChannel channel, ByteBuffer bytes, long start)
      throws IOException {
    long position = start;
    while (bytes.hasRemaining()) {
      position += channel.write(bytes, position);
    }
  }
}
