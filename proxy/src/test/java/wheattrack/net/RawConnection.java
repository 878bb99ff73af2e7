package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;

/**
 * A rig whose backends are played by hand: an accept, an answer or an end is held until it is time.
 */
abstract class RawConnection extends ProxyTestHarness {
  static final int SOON = 5000;

  /**
   * Ids of reqs in the order in which backends had them whole, once they are played by themselves.
   */
  final List<String> had = Collections.synchronizedList(new ArrayList<>());

  private final List<Socket> fillers = new ArrayList<>();
  private Standstill standstill;

  static void until(String what, BooleanSupplier is) throws InterruptedException {
    long latest = System.nanoTime() + SOON * 1_000_000L;
    while (!is.getAsBoolean()) {
      assertTrue(System.nanoTime() < latest, "in vain: " + what);
      Thread.sleep(1);
    }
  }

  ServerSocket door(int backlog) throws IOException {
    ServerSocket door = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    door.setSoTimeout(SOON);
    doors.add(door);
    return door;
  }

  /** Fills the door's queue, so that who dials from now on gets no answer until it is played. */
  void fill(ServerSocket door) throws IOException {
    while (true) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", door.getLocalPort()), 100);
      } catch (SocketTimeoutException full) {
        filler.close();
        return;
      }
    }
  }

  static Socket take(ServerSocket door) throws IOException {
    Socket one = door.accept();
    one.setSoTimeout(SOON);
    return one;
  }

  static String id(String head) {
    return head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
  }

  /** Reads one request whole: its id, its target where it has none, or how the connection ended. */
  static String read(Socket at) {
    try {
      InputStream in = at.getInputStream();
      String head = head(in);
      if (head == null || in.readNBytes(length(head)).length < length(head)) {
        return "end";
      }
      return head.contains("Request-Id: ") ? id(head) : head.split(" ")[1];
    } catch (SocketTimeoutException e) {
      return "nothing";
    } catch (IOException e) {
      return "reset";
    }
  }

  static void answer(Socket at, String status, String headers, String body) throws IOException {
    send(
        at,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** From now on whoever connects is answered. */
  void play(ServerSocket door) {
    start(
        () -> {
          door.setSoTimeout(0);
          while (true) {
            Socket one = door.accept();
            start(() -> play(one));
          }
        });
  }

  void play(Socket one) throws IOException {
    one.setSoTimeout(0);
    for (String id = read(one); !id.equals("end") && !id.equals("reset"); id = read(one)) {
      if (id.startsWith("/")) {
        answer(one, "200", "", "{\"rif\":0,\"q\":0}");
      } else {
        had.add(id);
        answer(one, "200", "", "played");
      }
    }
  }

  int figure(String name) {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      String text = call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
      return Integer.parseInt(text.replaceAll("(?s).*proxy\\." + name + ":(\\d+).*", "$1"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  String configFor(String... entries) throws IOException {
    news.add(told(1, true, entries));
    return config(open(this::list).getLocalPort(), 1024, "{}")
        .replace("\"drain_ms\"", "\"admin\":\"127.0.0.1:0\",\"drain_ms\"");
  }

  /**
   * The next line of the log that holds this text keeps the loop where it is until go() is called.
   */
  Standstill standstill(String text) {
    standstill = new Standstill(text);
    Logger log = Logger.getLogger("wheattrack");
    log.setLevel(Level.INFO);
    log.setUseParentHandlers(false);
    log.addHandler(standstill);
    return standstill;
  }

  @AfterEach
  void release() throws IOException {
    if (standstill != null) {
      standstill.go();
      Logger log = Logger.getLogger("wheattrack");
      log.removeHandler(standstill);
      log.setUseParentHandlers(true);
      log.setLevel(Level.SEVERE);
    }
    for (Socket filler : fillers) {
      filler.close();
    }
  }

  static final class Standstill extends Handler {
    private final String text;
    private final CountDownLatch there = new CountDownLatch(1), on = new CountDownLatch(1);

    Standstill(String text) {
      this.text = text;
    }

    void reached() throws InterruptedException {
      assertTrue(there.await(SOON, TimeUnit.MILLISECONDS), "never said: " + text);
    }

    void go() {
      on.countDown();
    }

    @Override
    public void publish(LogRecord line) {
      if (line.getMessage().contains(text) && there.getCount() > 0) {
        there.countDown();
        try {
          on.await(2 * SOON, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    @Override
    public void flush() {
      // nothing is held back
    }

    @Override
    public void close() {
      // nothing is open
    }
  }
}
