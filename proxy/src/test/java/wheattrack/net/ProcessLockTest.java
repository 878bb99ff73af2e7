package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The roles of processes of the same proxy that run at the same time. */
class ProcessLockTest {
  @TempDir Path folder;

  /** Two replacements, one after the other, despite a lock file that a dead process left. */
  @Test
  void rolesFollowTwoReplacementsDespiteALeftoverFile() throws Exception {
    Files.writeString(folder.resolve("wheattrack-a_8000.seats"), "left over");
    ProcessLock first = new ProcessLock(folder, "a:8000");
    StringBuilder trace = new StringBuilder("a " + first.refresh());
    ProcessLock second = new ProcessLock(folder, "a:8000");
    trace.append(", b comes: a " + first.refresh() + " b " + second.refresh());
    first.close();
    trace.append(", a ends: b " + second.refresh());
    ProcessLock third = new ProcessLock(folder, "a:8000");
    trace.append(", c comes: b " + second.refresh() + " c " + third.refresh());
    third.close();
    trace.append(", c ends: b " + second.refresh());
    ProcessLock otherProxy = new ProcessLock(folder, "a:8001");
    trace.append(", another proxy: " + otherProxy.refresh());
    trace.append(", no folder: " + new ProcessLock(folder.resolve("none"), "a:8000").refresh());
    assertEquals(
        "a ALONE, b comes: a OLDER b NEWER, a ends: b ALONE, c comes: b OLDER c NEWER, "
            + "c ends: b ALONE, another proxy: ALONE, no folder: ALONE",
        trace.toString());
    second.close();
    otherProxy.close();
  }
}
