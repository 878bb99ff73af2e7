package wheattrack.lab.soak;

import java.net.Socket;

/** Starts the daemon threads of soak runs. A thread ends silently at its first exception. */
final class SoakThreads {
  /** The work of a thread. */
  interface Task {
    void run() throws Exception;
  }

  /** The work of a thread that serves a connection. */
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
                // Expected: the peer has closed its connection, or the run is over.
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
