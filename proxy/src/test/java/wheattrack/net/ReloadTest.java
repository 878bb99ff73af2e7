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

/** Reloads of the configuration while the proxy serves: applied completely or not at all. */
class ReloadTest extends ProxyTestHarness {
  private static final String SELL_CLASS =
      ",{\"name\":\"sell\",\"clientTimeout\":900000,"
          + "\"responseTarget\":500000,\"group\":\"all\",\"window\":5,\"effect\":\"non_idempotent\"}";
  private static final int RELOAD_COUNT = 150;

  @TempDir Path folder;
  private Path file;
  private String runningConfig;

  @BeforeEach
  void serveOneProxy() throws Exception {
    file = folder.resolve("proxy.json");
    news.add(told(1, true, ready("s0"), ready("s1"), ready("s2")));
    serve(1024, "{},'admin':'127.0.0.1:0'".replace('\'', '"'));
    runningConfig =
        config(doors.get(doors.size() - 1).getLocalPort(), 1024, "{},'admin':'127.0.0.1:0'");
  }

  private void reload(String text) throws Exception {
    Files.writeString(file, text);
    server.reload(file);
  }

  /** One metric's value from the admin address. */
  private String metric(String name) throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.adminPort())) {
      String metrics = call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
      return metrics.replaceAll("(?s).*" + name + ":(\\d+).*", "$1");
    }
  }

  /** The status that a request of this class is answered with. */
  private String status(String requestClass) throws Exception {
    return call(request(requestClass)).substring(0, 3);
  }

  /** Files that are invalid, each in one way: the old settings stay, and one log line says why. */
  @Test
  void invalidFilesChangeNothing() throws Exception {
    String validConfig = runningConfig.replace("]}}", SELL_CLASS + "]}}");
    Logger logger = Logger.getLogger("wheattrack");
    Handler handler = ear();
    logger.addHandler(handler);
    logger.setLevel(Level.WARNING);
    try {
      String movedConfig =
          validConfig.replaceFirst("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:1\"");
      for (String text :
          new String[] {
            "",
            "{",
            "[]",
            movedConfig.substring(0, movedConfig.length() / 2),
            movedConfig.substring(0, movedConfig.length() - 1),
            movedConfig.replace("\"clientTimeout\":900000,", ""),
            movedConfig.replace("\"clientTimeout\":900000", "\"clientTimeout\":0"),
            movedConfig.replace("900000", "-5"),
            movedConfig.replace("500000,\"group", "0,\"group"),
            movedConfig.replace("\"maxDispatches\":3", "\"maxDispatches\":0"),
            movedConfig.replace("\"maxDispatches\":3,", ""),
            movedConfig.replace("true", "\"yes\""),
            movedConfig.replaceFirst("\"discovery\":\"[^\"]*\",", ""),
            movedConfig.replace("\"seed\":\"1\",", "").replace("\"settings\"", "\"set\""),
            movedConfig.replace("sell", "buy")
          }) {
        reload(text);
        w.say("sell " + status("sell") + ", buy " + status("buy"));
      }
    } finally {
      logger.removeHandler(handler);
      logger.setLevel(Level.SEVERE);
    }
    w.say("failed " + metric("reloads_failed") + ", ok " + metric("reloads_ok"));
    Files.delete(file);
    server.reload(file);
    String failed =
        metric("reloads_failed"); // asked for after the reload, so that it has looked for the file
    reload(validConfig);
    w.say(
        "no file, then a good one: sell "
            + status("sell")
            + ", failed "
            + failed
            + ", ok "
            + metric("reloads_ok")
            + ", lists asked for "
            + watches.get());
    w.matches("reload-broken");
  }

  /**
   * A class turns stricter or is removed, fewer attempts are allowed: requests in flight keep the
   * settings that they started with.
   */
  @Test
  void requestsInFlightKeepTheirSettings() throws Exception {
    List<Socket> openSockets = new ArrayList<>();
    String stricter = runningConfig.replace("read_like", "non_idempotent");
    for (String text :
        new String[] {
          runningConfig,
          stricter,
          runningConfig.replace("\"maxDispatches\":3", "\"maxDispatches\":1"),
          runningConfig.replace("\"name\":\"buy\"", "\"name\":\"let\"")
        }) {
      Socket socket = connect(); // its first attempt fails only after the reload
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
      reload(runningConfig);
      openSockets.add(socket);
    }
    w.say("buy served " + metric("served.buy") + ", failed " + metric("failed.buy"));
    for (Socket socket : openSockets) {
      socket.close();
    }
    w.matches("reload-moves");
  }

  /**
   * Valid and truncated files at random times under traffic: every file is counted, and every
   * request is answered in time.
   */
  @Test
  void randomReloads() throws Exception {
    AtomicInteger requestCount = new AtomicInteger();
    AtomicInteger unexpectedAnswers = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    boolean[] isStopped = {false};
    for (int i = 0; i < 4; i++) {
      clients.add(
          start(
              () -> {
                while (!isStopped[0]) {
                  String answer =
                      call(request(requestCount.incrementAndGet() % 2 == 0 ? "pay" : "sell"));
                  if (!answer.matches("200 s\\d.*|404 .*sell.*")) {
                    unexpectedAnswers.incrementAndGet();
                  }
                }
              }));
    }
    Random random = new Random(1);
    for (int i = 0; i < RELOAD_COUNT; i++) {
      String text =
          random.nextBoolean() ? runningConfig : runningConfig.replace("]}}", SELL_CLASS + "]}}");
      text = text.replace("1500000", Integer.toString(1_000_000 + random.nextInt(500_000)));
      boolean isComplete = random.nextInt(3) > 0;
      reload(isComplete ? text : text.substring(0, random.nextInt(text.length())));
      Thread.sleep(random.nextInt(10));
    }
    Thread.sleep(100);
    isStopped[0] = true;
    for (Thread client : clients) {
      client.join(2000);
    }
    assertEquals(0, unexpectedAnswers.get(), "of " + requestCount);
    assertTrue(requestCount.get() > RELOAD_COUNT, "too few requests: " + requestCount);
    int applied = Integer.parseInt(metric("reloads_ok"));
    assertEquals(RELOAD_COUNT, applied + Integer.parseInt(metric("reloads_failed")));
    assertTrue(applied > RELOAD_COUNT / 3, "applied: " + applied);
  }

  /**
   * A JVM gets no SIGHUP if its parent ignores the signal; the log says so. Proxies under nohup
   * once kept their old endpoint list.
   */
  @Test
  void ignoredHangupIsLogged() throws Exception {
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(file, config(9, 1024, "{}"));
    String shellScript =
        "trap '' HUP; exec \"$0\" -cp \"$1\" wheattrack.Main serve --config \"$2\"";
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process proxy =
        new ProcessBuilder(
                "sh",
                "-c",
                shellScript,
                java,
                System.getProperty("java.class.path"),
                file.toString())
            .redirectErrorStream(true)
            .start();
    try (var lines = proxy.inputReader()) {
      String logLine =
          lines
              .lines()
              .filter(line -> line.matches(".*SIGHUP is not heard.*|.*SERVING.*"))
              .findFirst()
              .orElse("nothing");
      assertTrue(logLine.contains("SIGHUP is not heard"), logLine);
    } finally {
      proxy.destroyForcibly().waitFor();
      Files.delete(file);
    }
  }
}
