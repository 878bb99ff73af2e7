package wheattrack.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import wheattrack.lab.soak.SoakCounts.Event;
import wheattrack.lab.soak.SoakCounts.Outcome;
import wheattrack.lab.soak.SoakCounts.Phase;
import wheattrack.lab.soak.SoakCounts.Position;
import wheattrack.lab.soak.SoakPlan.ClientKind;

/**
 * One client, for a thread of its own. It uses a connection until that is closed, even after the
 * proxy has announced that it will close it.
 */
final class SoakClient {
  /** How long after the request's timeout the operators' pages allow an answer. */
  private static final int SLACK_MILLIS = 500;

  /**
   * How long the operators' pages allow the proxy to neither answer nor close the connection of a
   * client that stops amid a message.
   */
  private static final int MAX_STOPPED_MILLIS = 3000;

  private static final int RECONNECT_PAUSE_MILLIS = 20;

  /** Exclusive bound of the pause between two requests or connections. */
  private static final int MAX_PAUSE_MILLIS = 8;

  /** Exclusive bound of the pause between two requests of a resting client. */
  private static final int MAX_REST_MILLIS = 2500;

  /** Distance between the random seeds of the clients of successive plan seeds. */
  private static final int CLIENT_SEEDS_PER_PLAN = 1000;

  /** How many bytes a stopping client leaves out to end within the body. */
  private static final int MISSING_BYTES_IN_BODY = 1;

  /** How many bytes a stopping client leaves out to end within the head. */
  private static final int MISSING_BYTES_IN_HEAD = 40;

  private static final double MILLIS_PER_SECOND = 1000.0;

  private static final String[] CLASSES = {"look", "mark", "pay"};
  private static final String NON_IDEMPOTENT = "pay";

  private final SoakRun run;
  private final int index;
  private final ClientKind kind;
  private final Random random;
  private int requestCount;

  SoakClient(SoakRun run, int index) {
    this.run = run;
    this.index = index;
    kind = SoakPlan.clientKind(index);
    random = new Random(run.plan().seed() * CLIENT_SEEDS_PER_PLAN + index);
  }

  /** One connection, and how many bytes of answered requests were sent on it. */
  private final class Connection implements AutoCloseable {
    private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), run.port());
    private final HttpStream stream = new HttpStream(socket);
    private final long connectedAt = System.nanoTime();
    private long bytesSent;
    private boolean isFirst = true;
    private boolean isCloseAnnounced;

    Connection() throws IOException {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(SoakRun.REQUEST_TIMEOUT_MILLIS + SLACK_MILLIS);
    }

    private void send(String text) throws IOException {
      stream.write(text);
    }

    /**
     * Sends the requests together and reads their answers; returns whether the connection is still
     * open. Sends nothing if the proxy has already closed the connection.
     */
    boolean exchange(String... requests) {
      Phase phase = run.phase();
      long startedAt = System.nanoTime();
      try {
        if (stream.isEnded()) {
          return false;
        }
        send(String.join("", requests));
      } catch (IOException e) {
        return recordUnanswered(phase, requests.length);
      }
      for (int i = 0; i < requests.length; i++) {
        if (!readAnswer(phase, startedAt)) {
          return recordUnanswered(phase, requests.length - i);
        }
        bytesSent += requests[i].length();
      }
      return true;
    }

    private boolean readAnswer(Phase phase, long startedAt) {
      Outcome outcome;
      try {
        HttpStream.Message answer = stream.read();
        if (answer == null) {
          return false;
        }
        isCloseAnnounced |= answer.announcesClose();
        outcome = outcome(answer.status());
      } catch (SocketTimeoutException e) {
        outcome = Outcome.LATE;
      } catch (IOException e) {
        return false;
      }
      long limit = SoakRun.REQUEST_TIMEOUT_MILLIS + SLACK_MILLIS;
      long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      boolean isLate = elapsed > limit;
      run.counts().count(phase, position(), isLate ? Outcome.LATE : outcome);
      if (isLate || outcome == Outcome.LATE) {
        System.out.printf(
            "  late: %s, %s, %s after %d ms, port %d, connected %d ms before%n",
            kind,
            position(),
            outcome,
            elapsed,
            socket.getLocalPort(),
            TimeUnit.NANOSECONDS.toMillis(startedAt - connectedAt));
      }
      isFirst = false;
      return true;
    }

    private SoakRun.Ending ending() {
      if (!isCloseAnnounced) {
        return SoakRun.Ending.UNANNOUNCED;
      }
      boolean isPipelined = kind == ClientKind.PIPELINING;
      return isPipelined ? SoakRun.Ending.ANNOUNCED_AMID_PIPELINE : SoakRun.Ending.ANNOUNCED;
    }

    private Position position() {
      return isFirst ? Position.FIRST : Position.FURTHER;
    }

    /**
     * Records that the connection was closed with this many requests unanswered, to be compared
     * with the proxy's log after the run. Returns false, as the connection is not open.
     */
    private boolean recordUnanswered(Phase phase, int unanswered) {
      int port = socket.getLocalPort();
      long endedAt = System.currentTimeMillis();
      for (int i = 0; i < unanswered; i++) {
        run.addUnanswered(
            new SoakRun.Unanswered(phase, position(), port, bytesSent, ending(), kind, endedAt));
        isFirst = false;
      }
      return false;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static Outcome outcome(int status) {
    return switch (status) {
      case 200 -> Outcome.ANSWERED;
      case 429, 503 -> Outcome.REJECTED;
      default -> Outcome.FAILED;
    };
  }

  /** Opens and uses one connection after another while the run lets clients connect. */
  void useConnections() throws InterruptedException {
    while (run.mayConnect()) {
      try (Connection connection = new Connection()) {
        switch (kind) {
          case STOPPING -> stopAmidMessage(connection);
          case LEAVING -> sendAndDisconnect(connection);
          default -> useUntilClosed(connection);
        }
      } catch (IOException e) {
        // The connection was refused, as no process listens.
        Thread.sleep(RECONNECT_PAUSE_MILLIS);
      }
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  private void useUntilClosed(Connection connection) throws InterruptedException {
    boolean isOpen = true;
    while (isOpen && !run.isOver()) {
      isOpen =
          kind == ClientKind.PIPELINING
              ? connection.exchange(nextRequest(), nextRequest())
              : connection.exchange(nextRequest());
      Thread.sleep(random.nextInt(kind == ClientKind.RESTING ? MAX_REST_MILLIS : MAX_PAUSE_MILLIS));
    }
  }

  private String nextRequest() {
    boolean hasLongBody = kind == ClientKind.LONG_BODIES;
    String drawnClass = CLASSES[random.nextInt(CLASSES.length)];
    String className = hasLongBody ? NON_IDEMPOTENT : drawnClass;
    String body = hasLongBody ? "x".repeat(SoakPlan.LONG_BODY_BYTES) : "hi";
    return request(className, nextId(className), body);
  }

  /** The class's first letter, the client's index and the request's number, all in hexadecimal. */
  private String nextId(String className) {
    requestCount++;
    return String.format("%x%04x%06x", className.charAt(0) & 0xff, index, requestCount);
  }

  private static String request(String className, String id, String body) {
    return "POST /"
        + className
        + " HTTP/1.1\r\nHost: soak\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: "
        + className
        + "\r\nRequest-Timeout: "
        + SoakRun.REQUEST_TIMEOUT_MILLIS / MILLIS_PER_SECOND
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Sends a request without its last bytes; the proxy must answer or close the connection in time.
   */
  private void stopAmidMessage(Connection connection) throws IOException {
    String text = request(NON_IDEMPOTENT, nextId(NON_IDEMPOTENT), "hi");
    int missingBytes = random.nextBoolean() ? MISSING_BYTES_IN_BODY : MISSING_BYTES_IN_HEAD;
    connection.send(text.substring(0, text.length() - missingBytes));
    connection.socket.setSoTimeout(MAX_STOPPED_MILLIS + SLACK_MILLIS);
    try {
      connection.stream.read();
    } catch (SocketTimeoutException e) {
      run.counts().count(Event.STOPPED_CLIENT_KEPT, 1);
      run.addOverdueStoppedClient(connection.socket.getLocalPort());
    }
  }

  private void sendAndDisconnect(Connection connection) throws IOException, InterruptedException {
    String id = nextId(NON_IDEMPOTENT);
    connection.send(request(NON_IDEMPOTENT, id, "hi"));
    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    connection.close();
    run.addDisconnection(id, System.nanoTime());
  }
}
