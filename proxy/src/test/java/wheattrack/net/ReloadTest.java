package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings that change while the proxy serves: taken whole, or not at all. */
class ReloadTest extends ProxyTestHarness {
  private static final String SOLD =
      ",{\"name\":\"sell\",\"clientTimeout\":900000,"
          + "\"responseTarget\":500000,\"group\":\"all\",\"window\":5,\"effect\":\"non_idempotent\"}";
  private static final int RELOADS = 150;

  @TempDir Path folder;
  private Path file;
  private String running;

  @BeforeEach
  void begin() throws Exception {
    file = folder.resolve("proxy.json");
    news.add(told(1, true, ready("s0"), ready("s1"), ready("s2")));
    serve(1024, "{},'admin':'127.0.0.1:0'".replace('\'', '"'));
    running = config(doors.get(doors.size() - 1).getLocalPort(), 1024, "{},'admin':'127.0.0.1:0'");
  }

  private void reload(String text) throws Exception {
    Files.writeString(file, text);
    server.reload(file);
  }

  private String figure(String name) throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      String all = call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
      return all.replaceAll("(?s).*" + name + ":(\\d+).*", "$1");
    }
  }

  private String status(String set) throws Exception {
    return call(request(set)).substring(0, 3);
  }

  /** Files that are broken, each in one way: the old settings stay whole, and one line says why. */
  @Test
  void broken() throws Exception {
    String good = running.replace("]}}", SOLD + "]}}");
    Logger log = Logger.getLogger("wheattrack");
    Handler ear = ear();
    log.addHandler(ear);
    log.setLevel(Level.WARNING);
    try {
      String moved = good.replaceFirst("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:1\"");
      for (String text :
          new String[] {
            "",
            "{",
            "[]",
            moved.substring(0, moved.length() / 2),
            moved.substring(0, moved.length() - 1),
            moved.replace("\"clientTimeout\":900000,", ""),
            moved.replace("\"clientTimeout\":900000", "\"clientTimeout\":0"),
            moved.replace("900000", "-5"),
            moved.replace("500000,\"group", "0,\"group"),
            moved.replace("\"maxDispatches\":3", "\"maxDispatches\":0"),
            moved.replace("\"maxDispatches\":3,", ""),
            moved.replace("true", "\"yes\""),
            moved.replaceFirst("\"discovery\":\"[^\"]*\",", ""),
            moved.replace("\"seed\":\"1\",", "").replace("\"settings\"", "\"set\""),
            moved.replace("sell", "buy")
          }) {
        reload(text);
        w.say("sell " + status("sell") + ", buy " + status("buy"));
      }
    } finally {
      log.removeHandler(ear);
      log.setLevel(Level.SEVERE);
    }
    w.say("failed " + figure("reloads_failed") + ", ok " + figure("reloads_ok"));
    Files.delete(file);
    server.reload(file);
    String failed =
        figure("reloads_failed"); // asked for behind it, so that it has looked for the file
    reload(good);
    w.say(
        "no file, then a good one: sell "
            + status("sell")
            + ", failed "
            + failed
            + ", ok "
            + figure("reloads_ok")
            + ", lists asked for "
            + watches.get());
    w.matches("reload-broken");
  }

  /**
   * A rule set turns stricter or goes, fewer dispatches are allowed; what is open keeps its own.
   */
  @Test
  void moves() throws Exception {
    List<Socket> open = new ArrayList<>();
    String stricter = running.replace("read_like", "non_idempotent");
    for (String text :
        new String[] {
          running,
          stricter,
          running.replace("\"maxDispatches\":3", "\"maxDispatches\":1"),
          running.replace("\"name\":\"buy\"", "\"name\":\"let\"")
        }) {
      Socket socket = connect(); // its first dispatch fails only after the change
      script.addAll(List.of("slow 500", "ok"));
      int before = came.get();
      send(socket, request("buy"));
      while (came.get() == before) {
        Thread.sleep(1);
      }
      reload(text);
      w.say(
          "open through the change: "
              + answer(socket).replaceAll("s\\d", "ok")
              + ", sent "
              + (came.get() - before));
      script.addAll(List.of("500", "ok"));
      before = came.get();
      w.say(
          "  then: "
              + status("buy")
              + ", let "
              + status("let")
              + ", sent "
              + (came.get() - before));
      script.clear();
      reload(running);
      open.add(socket);
    }
    w.say("buy served " + figure("served.buy") + ", failed " + figure("failed.buy"));
    for (Socket socket : open) {
      socket.close();
    }
    w.matches("reload-moves");
  }

  /**
   * Any files at any moment under traffic: every file is counted, and every req has an answer in
   * time.
   */
  @Test
  void randomReloads() throws Exception {
    AtomicInteger asked = new AtomicInteger(), odd = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    boolean[] stop = {false};
    for (int i = 0; i < 4; i++) {
      clients.add(
          start(
              () -> {
                while (!stop[0]) {
                  String answer = call(request(asked.incrementAndGet() % 2 == 0 ? "pay" : "sell"));
                  if (!answer.matches("200 s\\d.*|404 .*sell.*")) {
                    odd.incrementAndGet();
                  }
                }
              }));
    }
    Random draws = new Random(1);
    for (int i = 0; i < RELOADS; i++) {
      String text = draws.nextBoolean() ? running : running.replace("]}}", SOLD + "]}}");
      text = text.replace("1500000", Integer.toString(1_000_000 + draws.nextInt(500_000)));
      boolean whole = draws.nextInt(3) > 0;
      reload(whole ? text : text.substring(0, draws.nextInt(text.length())));
      Thread.sleep(draws.nextInt(10));
    }
    Thread.sleep(100);
    stop[0] = true;
    for (Thread client : clients) {
      client.join(2000);
    }
    assertEquals(0, odd.get(), "of " + asked);
    assertTrue(asked.get() > RELOADS, "too few reqs: " + asked);
    int taken = Integer.parseInt(figure("reloads_ok"));
    assertEquals(RELOADS, taken + Integer.parseInt(figure("reloads_failed")));
    assertTrue(taken > RELOADS / 3, "taken: " + taken);
  }

  /**
   * A fleet under nohup kept its old list: no JVM hears SIGHUP where its parent ignores it; it says
   * so.
   */
  @Test
  void hangupIgnored() throws Exception {
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(file, config(9, 1024, "{}"));
    String start = "trap '' HUP; exec \"$0\" -cp \"$1\" wheattrack.Main serve --config \"$2\"";
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process proxy =
        new ProcessBuilder(
                "sh", "-c", start, java, System.getProperty("java.class.path"), file.toString())
            .redirectErrorStream(true)
            .start();
    try (var lines = proxy.inputReader()) {
      String said =
          lines
              .lines()
              .filter(line -> line.matches(".*SIGHUP is not heard.*|.*SERVING.*"))
              .findFirst()
              .orElse("nothing");
      assertTrue(said.contains("SIGHUP is not heard"), said);
    } finally {
      proxy.destroyForcibly().waitFor();
      Files.delete(file);
    }
  }
}
