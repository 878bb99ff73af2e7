package wheattrack.lab.scale;

import java.io.IOException;

/** Starts threads that end with the program and whose errors end only themselves. */
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
                // the peer has gone or the run is over; the measurement shows what is missing
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
