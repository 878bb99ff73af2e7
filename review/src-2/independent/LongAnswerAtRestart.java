package independent;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart begins with SIGTERM while clients read long answers, which takes them some
 * seconds. The platform waits for the end of the process. Each answer must come whole.
 */
final class LongAnswerAtRestart {
  private static final int CLIENTS = 6;
  private static final int ANSWER_BYTES = 30 << 20;
  private static final int PIECE_BYTES = 64 * 1024;
  private static final long READING_MILLIS = 10_000;
  private static final long SIGTERM_AFTER_MILLIS = 1_500;
  private static final long PLATFORM_WAITS_MILLIS = 30_000;

  private final Rig rig;
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final AtomicInteger notBegun = new AtomicInteger();

  private LongAnswerAtRestart(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig.play(args, rig -> new LongAnswerAtRestart(rig).run());
  }

  private void handle(Backend.Connection connection, Backend.Request request) throws Exception {
    rig.record("run " + request.id());
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n");
    OutputStream output = connection.socket.getOutputStream();
    int written = 0;
    try {
      while (written < ANSWER_BYTES) {
        output.write(new byte[PIECE_BYTES]);
        written += PIECE_BYTES;
      }
      rig.record("backend has written all of the answer to " + request.id());
    } catch (IOException e) {
      rig.record(
          "backend still gives the answer to " + request.id() + ", " + written
              + " bytes written, and the proxy has closed: " + e);
      throw e;
    }
  }

  private int run() throws Exception {
    Discovery discovery = new Discovery(rig);
    for (int i = 0; i < 2; i++) {
      String uid = "s-000" + i;
      Backend backend = new Backend(uid, this::handle);
      discovery.set(uid, Discovery.entry(uid, backend.port(), "sherbrooke", 0, "SERVING", 0));
    }
    Rig.ProxyProcess proxy = rig.newProxy("n1");
    proxy.configure(
        discovery.port(),
        Sites.settings(
            "[\"sherbrooke\"]", 1, 0, Sites.ruleSet("view-menu", "read_like", "all", 600, 1200, 0),
            Sites.ruleSet("order-status", "read_like", "all", 750, 3000, 0)));
    proxy.start();
    proxy.awaitReady();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String id = "q" + i;
      Thread thread = new Thread(() -> read(proxy.port, id));
      thread.start();
      clients.add(thread);
      Thread.sleep(100);
    }
    Thread.sleep(SIGTERM_AFTER_MILLIS);
    if (Rig.TROUBLE) {
      proxy.signal("TERM");
      int code = proxy.awaitEnd(PLATFORM_WAITS_MILLIS);
      rig.say("the proxy has ended with " + code + ", not killed");
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.say("whole answers " + whole + ", cut off " + cut + ", not begun " + notBegun);
    if (notBegun.get() > 0) {
      return Rig.COULD_NOT_RUN;
    }
    return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** Reads an answer evenly, in pieces. */
  private void read(int port, String id) {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(PIECE_BYTES);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
      socket.getOutputStream().write(
          Client.get(
              "/order-status",
              "Request-Id: " + id + "\r\nRequest-Class: order-status\r\n"
                  + "Request-Timeout: 3.0\r\n"));
      InputStream input = socket.getInputStream();
      String head = Wire.readHead(input);
      rig.record("first bytes to " + id + ": " + (head == null ? "none" : head.split("\r\n")[0]));
      if (head == null || !head.startsWith("HTTP/1.1 200")) {
        notBegun.incrementAndGet();
        return;
      }
      readEvenly(input, id);
    } catch (IOException | InterruptedException e) {
      rig.record("client " + id + ": " + e);
      notBegun.incrementAndGet();
    }
  }

  private void readEvenly(InputStream input, String id) throws InterruptedException {
    int received = 0;
    String end = "end of the connection";
    try {
      while (received < ANSWER_BYTES) {
        byte[] piece = input.readNBytes(Math.min(PIECE_BYTES, ANSWER_BYTES - received));
        received += piece.length;
        if (piece.length == 0) {
          break;
        }
        Thread.sleep(READING_MILLIS * PIECE_BYTES / ANSWER_BYTES);
      }
    } catch (IOException e) {
      end = e.toString();
    }
    if (received == ANSWER_BYTES) {
      whole.incrementAndGet();
      rig.record("whole answer to " + id);
    } else {
      cut.incrementAndGet();
      rig.say("CUT OFF: " + id + " got " + received + " of " + ANSWER_BYTES + " bytes: " + end);
    }
  }
}
