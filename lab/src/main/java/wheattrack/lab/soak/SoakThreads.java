package wheattrack.lab.soak;

import java.net.Socket;

/** Starts the soak's daemon threads, each of which ends at its first error. */
final class SoakThreads {
  /** What a thread does. */
  interface Task {
    void run() throws Exception;
  }

  /** What a thread does with a connection. */
  interface SocketTask {
    void run(Socket socket) throws Exception;
  }

  private SoakThreads() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                Thread.currentThread().interrupt(); // the peer has gone, or the run is over
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
