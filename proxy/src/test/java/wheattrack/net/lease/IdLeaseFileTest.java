package wheattrack.net.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The shared file: created, found again, damaged, not usable. */
class IdLeaseFileTest {
  private static final String ADDRESS = "127.0.0.1:8000";
  private static final long DURATION = 60_000;
  private static final long DIGEST = 0x1234_5678_9abc_de00L;

  @TempDir Path folder;

  private IdLeaseTable open() {
    return IdLeaseFile.open(folder, ADDRESS);
  }

  private Path file() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      List<Path> found = files.toList();
      assertEquals(1, found.size(), "files: " + found);
      return found.get(0);
    }
  }

  @Test
  void leasesOutliveTheProcessThatHeldThem() throws Exception {
    assertNotNull(open().acquire(DIGEST, DURATION));
    assertNull(open().acquire(DIGEST, DURATION));
    assertNotNull(IdLeaseFile.open(folder, "127.0.0.1:8001").acquire(DIGEST, DURATION));
  }

  @Test
  void shortOrForeignFileIsRepaired() throws Exception {
    open();
    for (String content : new String[] {"", "left over", "x".repeat(IdLeaseTable.BYTES)}) {
      Files.writeString(file(), content);
      IdLeaseTable table = open();
      assertTrue(table.isShared());
      assertNotNull(table.acquire(DIGEST, DURATION));
      assertNull(open().acquire(DIGEST, DURATION));
    }
  }

  @Test
  void unusableFileLeavesLeasesUnshared() throws Exception {
    open();
    Path file = file();
    Files.delete(file);
    Files.createDirectory(file);
    for (Path unusable : new Path[] {folder, folder.resolve("none")}) {
      IdLeaseTable table = IdLeaseFile.open(unusable, ADDRESS);
      assertFalse(table.isShared());
      IdLease lease = table.acquire(DIGEST, DURATION);
      lease.extend(DURATION);
      lease.release();
    }
  }

  /** The JVM reports an access beyond the end of a mapped file as an error. */
  @Test
  void fileCutOffWhileInUseLeavesLeasesUnshared() throws Exception {
    IdLeaseTable table = open();
    IdLease lease = table.acquire(DIGEST, DURATION);
    try (FileChannel channel = FileChannel.open(file(), StandardOpenOption.WRITE)) {
      channel.truncate(0);
    }
    assertNotNull(table.acquire(DIGEST + 1, DURATION));
    assertFalse(table.isShared());
    lease.extend(2 * DURATION);
    lease.release();
  }
}
