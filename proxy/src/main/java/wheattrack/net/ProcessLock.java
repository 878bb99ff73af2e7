package wheattrack.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wheattrack.log.EventLog;

/**
 * Who of one proxy's processes runs beside this one: two seats, locks on a file that both can
 * reach. A lock dies with its holder, however it ends, so that leftovers hinder nobody. On the
 * loop's thread only.
 */
final class ProcessLock {
  /**
   * ALONE: nobody is beside. OLDER: a newer process has begun. NEWER: an older one is not gone yet.
   */
  enum Role {
    ALONE,
    OLDER,
    NEWER
  }

  private static final int FIRST = 0, SECOND = 1;

  private final FileChannel file;
  private FileLock first, second;
  private Role role = Role.ALONE;

  /**
   * folder: shared by both; where no file can be had there, this process is alone. null: it is
   * alone, too, as at a free port, which is nobody's to share: two builds at once, and the second
   * rehearsal hung.
   */
  ProcessLock(Path folder, String proxy) {
    file = folder == null ? null : open(folder, proxy);
    refresh();
  }

  private static FileChannel open(Path folder, String proxy) {
    try {
      String name = "wheattrack-" + proxy.replaceAll("[^A-Za-z0-9.]", "_") + ".seats";
      return FileChannel.open(
          folder.resolve(name),
          StandardOpenOption.CREATE,
          StandardOpenOption.READ,
          StandardOpenOption.WRITE);
    } catch (IOException | RuntimeException e) {
      EventLog.warning("no seat", null, "counts as the only process of this proxy: " + e);
      return null;
    }
  }

  /** How things stand now; to be called now and then. */
  Role refresh() {
    if (file == null) {
      return role;
    }
    Role was = role;
    try {
      first = first == null ? lock(FIRST) : first;
      if (first == null) {
        second = second == null ? lock(SECOND) : second;
        role = Role.NEWER;
      } else {
        release(second);
        second = null;
        FileLock other = lock(SECOND);
        release(other);
        role = other == null ? Role.OLDER : Role.ALONE;
      }
    } catch (IOException e) {
      EventLog.warning("seats can't be read", null, e.toString());
    }
    if (role != was) {
      EventLog.info(
          "process",
          role.name(),
          switch (role) {
            case ALONE -> "no other process of this proxy";
            case OLDER -> "a newer process has begun";
            case NEWER -> "an older process is not gone yet";
          });
    }
    return role;
  }

  Role role() {
    return role;
  }

  private FileLock lock(int seat) throws IOException {
    try {
      return file.tryLock(seat, 1, false);
    } catch (OverlappingFileLockException e) { // another of this JVM's, as in tests
      return null;
    }
  }

  private static void release(FileLock lock) throws IOException {
    if (lock != null) {
      lock.release();
    }
  }

  /** Leaves; the locks go with the file. */
  void close() {
    try {
      if (file != null) {
        release(first);
        release(second);
        file.close();
      }
    } catch (IOException e) {
      EventLog.warning("the seat", null, e.toString());
    }
  }
}
