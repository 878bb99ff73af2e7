package wheattrack.lab.scale;

/** Starts threads that end with the program and whose errors end only themselves. */
final class DaemonThreads {
  /** What a thread does. */
  interface Task {
    void run() throws Exception;
  }

  private DaemonThreads() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the peer has gone or the run is over; the measurement shows what is missing
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
