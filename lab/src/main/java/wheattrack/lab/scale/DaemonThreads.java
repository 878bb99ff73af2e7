package wheattrack.lab.scale;

import java.io.IOException;

/** Starts daemon threads whose exceptions end only the thread itself. */
final class DaemonThreads {
  /** What a thread does. */
  interface Task {
    void run() throws IOException, InterruptedException;
  }

  private DaemonThreads() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException | RuntimeException e) {
                // The peer has disconnected or the run has ended. A measurement lacks the thread's
                // results.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
