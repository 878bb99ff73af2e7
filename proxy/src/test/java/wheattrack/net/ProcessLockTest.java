package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessLockTest {
  @TempDir Path folder;

  /** Who is beside whom through two replacements, and with leftovers of a dead holder. */
  @Test
  void places() throws Exception {
    Files.writeString(folder.resolve("wheattrack-a_8000.seats"), "left over");
    ProcessLock a = new ProcessLock(folder, "a:8000");
    StringBuilder trace = new StringBuilder("a " + a.look());
    ProcessLock b = new ProcessLock(folder, "a:8000");
    trace.append(", b comes: a " + a.look() + " b " + b.look());
    a.close();
    trace.append(", a ends: b " + b.look());
    ProcessLock c = new ProcessLock(folder, "a:8000");
    trace.append(", c comes: b " + b.look() + " c " + c.look());
    c.close();
    trace.append(", c ends: b " + b.look());
    ProcessLock other = new ProcessLock(folder, "a:8001");
    trace.append(", another proxy: " + other.look());
    trace.append(", no folder: " + new ProcessLock(folder.resolve("none"), "a:8000").look());
    assertEquals(
        "a ALONE, b comes: a OLDER b NEWER, a ends: b ALONE, c comes: b OLDER c NEWER, "
            + "c ends: b ALONE, another proxy: ALONE, no folder: ALONE",
        trace.toString());
    b.close();
    other.close();
  }
}
