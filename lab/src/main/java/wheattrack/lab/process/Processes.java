package wheattrack.lab.process;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Starts and ends processes. May be used by any thread. */
public final class Processes {
  private static final long EXIT_TIMEOUT_SECONDS = 5;

  private Processes() {}

  /** The path of the {@code java} command that runs this program. */
  public static String javaCommand() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  /**
   * Kills a process and waits for its exit, 5 s at most. If the thread is interrupted, this returns
   * early with the interrupt flag set.
   */
  public static void killAndWait(Process process) {
    process.destroyForcibly();
    try {
      process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
