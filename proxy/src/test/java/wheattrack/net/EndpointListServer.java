package wheattrack.net;

import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.sendChunk;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake discovery service, which sends the endpoint list lines of a test to the latest watch. */
final class EndpointListServer {
  /** How many characters of a line are sent if the connection is closed within it. */
  private static final int PART_LENGTH = 35;

  private static final int POLL_MILLIS = 5;

  /** What the server does next on the watch. */
  private enum Kind {
    LINE,
    PART_OF_LINE,
    CLOSE
  }

  private record WatchEvent(Kind kind, String line) {}

  private final BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
  private final AtomicInteger watchCount = new AtomicInteger();
  private final Queue<String> observations;
  private volatile boolean isStopped;

  /**
   * Creates a server without lines.
   *
   * @param observations receives the request target of each watch
   */
  EndpointListServer(Queue<String> observations) {
    this.observations = observations;
  }

  /** Sends this line to the latest watch, or to the next one if there is none. */
  void send(String line) {
    events.add(new WatchEvent(Kind.LINE, line));
  }

  /** Sends the start of this line, then closes the watch within the line. */
  void sendPartOf(String line) {
    events.add(new WatchEvent(Kind.PART_OF_LINE, line));
  }

  /** Closes the watch. */
  void closeWatch() {
    events.add(new WatchEvent(Kind.CLOSE, ""));
  }

  /** Removes the lines and closings that have not been sent yet. */
  void clear() {
    events.clear();
  }

  /** How many watches have been requested so far. */
  int watchCount() {
    return watchCount.get();
  }

  /** Ends the threads that serve watches. */
  void stop() {
    isStopped = true;
  }

  /** Serves one watch until it is closed or a later watch is requested. */
  void serve(Socket socket) throws Exception {
    InputStream input = new BufferedInputStream(socket.getInputStream());
    observations.add(readHead(input).split(" ")[1]);
    int watchNumber = watchCount.incrementAndGet();
    RawHttp.send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (!isStopped && watchNumber == watchCount.get()) {
      WatchEvent event = events.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
      if (event == null) {
        continue;
      }
      switch (event.kind) {
        case LINE -> sendChunk(socket, event.line + "\n");
        case PART_OF_LINE -> {
          sendPart(socket, event.line);
          socket.close();
          return;
        }
        default -> {
          socket.close();
          return;
        }
      }
    }
  }

  private static void sendPart(Socket socket, String line) throws IOException {
    String chunkSize = Integer.toHexString((line + "\n").length());
    RawHttp.send(socket, chunkSize + "\r\n" + line.substring(0, PART_LENGTH));
  }
}
