package wheattrack.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wheattrack.log.EventLog;

/**
 * Detects whether two processes of one proxy run at the same time. Each locks one byte of a file
 * that both can access: the older process the first, the newer one the second. The system releases
 * a lock when its holder exits for any reason, so that the file left by a dead process blocks no
 * later one. Runs on the event loop's thread only.
 */
final class ProcessLock {
  /** This process's role among the processes of the same proxy. */
  enum Role {
    /** No other process of this proxy runs. */
    ALONE,
    /** A newer process has started and is to replace this one. */
    OLDER,
    /** An older process, which this one replaces, has not ended yet. */
    NEWER
  }

  private static final int FIRST_BYTE = 0;
  private static final int SECOND_BYTE = 1;

  private final FileChannel file;
  private FileLock firstLock;
  private FileLock secondLock;
  private Role role = Role.ALONE;

  /**
   * Opens the lock file and determines the role.
   *
   * @param folder folder that both processes can access; if the file cannot be opened there, the
   *     role is {@link Role#ALONE}. null: no lock is used and the role is ALONE, as for a port that
   *     the system chooses. No two processes share such a port, but they would share the lock of
   *     port 0: with it, of two builds on one machine, the second class archive training hung
   * @param proxyAddress the proxy's listening address, from which the file's name is derived
   */
  ProcessLock(Path folder, String proxyAddress) {
    file = folder == null ? null : open(folder, proxyAddress);
    refresh();
  }

  private static FileChannel open(Path folder, String proxyAddress) {
    try {
      String name = "wheattrack-" + proxyAddress.replaceAll("[^A-Za-z0-9.]", "_") + ".seats";
      return FileChannel.open(
          folder.resolve(name),
          StandardOpenOption.CREATE,
          StandardOpenOption.READ,
          StandardOpenOption.WRITE);
    } catch (IOException | RuntimeException e) {
      EventLog.warning(
          "cannot open the lock file",
          null,
          "assuming that no other process of the proxy at " + proxyAddress + " runs: " + e);
      return null;
    }
  }

  /** Tests the locks again and returns the resulting role; to be called periodically. */
  Role refresh() {
    if (file == null) {
      return role;
    }
    Role previous = role;
    try {
      role = acquireLocks();
    } catch (IOException e) {
      EventLog.warning("cannot test the lock file", null, "role remains " + role + ": " + e);
    }
    if (role != previous) {
      EventLog.info("process", role.name(), description(role));
    }
    return role;
  }

  private Role acquireLocks() throws IOException {
    if (firstLock == null) {
      firstLock = tryLock(FIRST_BYTE);
    }
    if (firstLock == null) {
      if (secondLock == null) {
        secondLock = tryLock(SECOND_BYTE);
      }
      return Role.NEWER;
    }
    release(secondLock);
    secondLock = null;
    FileLock testLock = tryLock(SECOND_BYTE);
    release(testLock);
    return testLock == null ? Role.OLDER : Role.ALONE;
  }

  private static String description(Role role) {
    return switch (role) {
      case ALONE -> "no other process of this proxy runs";
      case OLDER -> "a newer process of this proxy has started";
      case NEWER -> "an older process of this proxy still runs";
    };
  }

  /** The role as of the last refresh. */
  Role role() {
    return role;
  }

  /** Whether another process of this proxy ran at the last refresh. */
  boolean isOtherProcessPresent() {
    return role != Role.ALONE;
  }

  /** Tries to lock the byte at this position; returns null if another process holds it. */
  private FileLock tryLock(int position) throws IOException {
    try {
      return file.tryLock(position, 1, false);
    } catch (OverlappingFileLockException e) { // another holder within this JVM, as in tests
      return null;
    }
  }

  private static void release(FileLock lock) throws IOException {
    if (lock != null) {
      lock.release();
    }
  }

  /** Releases this process's locks and closes the file. */
  void close() {
    try {
      if (file != null) {
        release(firstLock);
        release(secondLock);
        file.close();
      }
    } catch (IOException e) {
      EventLog.warning("cannot release the lock file", null, e.toString());
    }
  }
}
