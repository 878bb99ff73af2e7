package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings that change while the proxy serves: a file is applied completely or not at all. */
class ReloadTest extends ProxyTestHarness {
  private static final String SELL_CLASS =
      ",{\"name\":\"sell\",\"clientTimeout\":900000,"
          + "\"responseTarget\":500000,\"group\":\"all\",\"window\":5,\"effect\":\"non_idempotent\"}";
  private static final int RELOADS = 150;

  @TempDir Path folder;
  private Path file;
  private String currentConfig;

  @BeforeEach
  void startProxyWithThreeBackends() throws Exception {
    file = folder.resolve("proxy.json");
    endpointList.send(
        listLine(1, true, startBackend("s0"), startBackend("s1"), startBackend("s2")));
    startProxy(1024, "{},'admin':'127.0.0.1:0'".replace('\'', '"'));
    currentConfig =
        config(
            listeners.get(listeners.size() - 1).getLocalPort(), 1024, "{},'admin':'127.0.0.1:0'");
  }

  private void reload(String text) throws Exception {
    Files.writeString(file, text);
    server.reload(file);
  }

  private String statusFor(String className) throws Exception {
    return call(request(className)).substring(0, 3);
  }

  /**
   * Each invalid file leaves the settings as they were, and one line of the log gives the reason.
   */
  @Test
  void brokenFilesChangeNothing() throws Exception {
    String goodConfig = currentConfig.replace("]}}", SELL_CLASS + "]}}");
    LogRecording log = recordLog(Level.WARNING);
    try (log) {
      String movedConfig =
          goodConfig.replaceFirst("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:1\"");
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
        recorder.recordLine("sell " + statusFor("sell") + ", buy " + statusFor("buy"));
      }
    }
    recorder.recordLine("failed " + metric("reloads_failed") + ", ok " + metric("reloads_ok"));
    Files.delete(file);
    server.reload(file);
    int failed = metric("reloads_failed"); // answered after the reload
    reload(goodConfig);
    recorder.recordLine(
        "no file, then a good one: sell "
            + statusFor("sell")
            + ", failed "
            + failed
            + ", ok "
            + metric("reloads_ok")
            + ", lists asked for "
            + endpointList.watchCount());
    recorder.assertMatches("reload-broken");
  }

  /**
   * A class becomes stricter or is removed, or fewer attempts are allowed: requests in flight keep
   * the settings under which they were accepted.
   */
  @Test
  void requestsInFlightKeepTheirClass() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    String stricter = currentConfig.replace("read_like", "non_idempotent");
    for (String text :
        new String[] {
          currentConfig,
          stricter,
          currentConfig.replace("\"maxDispatches\":3", "\"maxDispatches\":1"),
          currentConfig.replace("\"name\":\"buy\"", "\"name\":\"let\"")
        }) {
      Socket socket = connect(); // its first attempt fails only after the change
      backends.enqueue(BackendAction.SLOW_STATUS_500, BackendAction.OK);
      int requestsBefore = requestsReceived.get();
      send(socket, request("buy"));
      while (requestsReceived.get() == requestsBefore) {
        Thread.sleep(1);
      }
      reload(text);
      recorder.recordLine(
          "open through the change: "
              + readAnswer(socket).replaceAll("s\\d", "ok")
              + ", sent "
              + (requestsReceived.get() - requestsBefore));
      backends.enqueue(BackendAction.STATUS_500, BackendAction.OK);
      requestsBefore = requestsReceived.get();
      recorder.recordLine(
          "  then: "
              + statusFor("buy")
              + ", let "
              + statusFor("let")
              + ", sent "
              + (requestsReceived.get() - requestsBefore));
      backends.clearScript();
      reload(currentConfig);
      sockets.add(socket);
    }
    recorder.recordLine("buy served " + metric("served.buy") + ", failed " + metric("failed.buy"));
    for (Socket socket : sockets) {
      socket.close();
    }
    recorder.assertMatches("reload-moves");
  }

  /** Any files at any moment under traffic: each is counted, and each request is answered. */
  @Test
  void everyReloadIsCountedAndEveryRequestAnswered() throws Exception {
    AtomicInteger requestsSent = new AtomicInteger();
    AtomicInteger oddAnswers = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    AtomicBoolean isStopping = new AtomicBoolean();
    for (int i = 0; i < 4; i++) {
      clients.add(
          startThread(
              () -> {
                while (!isStopping.get()) {
                  String answer =
                      call(request(requestsSent.incrementAndGet() % 2 == 0 ? "pay" : "sell"));
                  if (!answer.matches("200 s\\d.*|404 .*sell.*")) {
                    oddAnswers.incrementAndGet();
                  }
                }
              }));
    }
    Random random = new Random(1);
    for (int i = 0; i < RELOADS; i++) {
      String text =
          random.nextBoolean() ? currentConfig : currentConfig.replace("]}}", SELL_CLASS + "]}}");
      text = text.replace("1500000", Integer.toString(1_000_000 + random.nextInt(500_000)));
      boolean isComplete = random.nextInt(3) > 0;
      reload(isComplete ? text : text.substring(0, random.nextInt(text.length())));
      Thread.sleep(random.nextInt(10));
    }
    Thread.sleep(100);
    isStopping.set(true);
    for (Thread client : clients) {
      client.join(2000);
    }
    assertEquals(0, oddAnswers.get(), "of " + requestsSent);
    assertTrue(requestsSent.get() > RELOADS, "too few requests: " + requestsSent);
    int reloadsTaken = metric("reloads_ok");
    assertEquals(RELOADS, reloadsTaken + metric("reloads_failed"));
    assertTrue(reloadsTaken > RELOADS / 3, "taken: " + reloadsTaken);
  }

  /**
   * No JVM receives SIGHUP if its parent ignores it, as nohup does: a fleet kept its old settings.
   * The log has a line for it.
   */
  @Test
  void ignoredHangupIsLogged() throws Exception {
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(file, config(9));
    String script = "trap '' HUP; exec \"$0\" -cp \"$1\" wheattrack.Main serve --config \"$2\"";
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process proxy =
        new ProcessBuilder(
                "sh", "-c", script, java, System.getProperty("java.class.path"), file.toString())
            .redirectErrorStream(true)
            .start();
    try (var lines = proxy.inputReader()) {
      String logLine =
          lines
              .lines()
              .filter(
                  line -> line.matches(".*SIGHUP does not reload the configuration.*|.*SERVING.*"))
              .findFirst()
              .orElse("nothing");
      assertTrue(logLine.contains("SIGHUP does not reload the configuration"), logLine);
    } finally {
      proxy.destroyForcibly().waitFor();
      Files.delete(file);
    }
  }
}
