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

/** Reloads while the proxy serves: a configuration file is applied completely or not at all. */
class ReloadTest extends ProxyTestHarness {
  private static final String SELL_CLASS =
      ",{\"name\":\"sell\",\"clientTimeout\":900000,"
          + "\"responseTarget\":500000,\"group\":\"all\",\"window\":5,\"effect\":\"non_idempotent\"}";
  private static final int RELOADS = 150;
  private static final int CLIENTS = 4;

  /** The random client timeouts are in this range, in microseconds. */
  private static final int MIN_CLIENT_TIMEOUT_MICROS = 1_000_000;

  private static final int CLIENT_TIMEOUT_SPREAD_MICROS = 500_000;

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
   * An invalid configuration file leaves the settings unchanged, and one log line gives the reason.
   */
  @Test
  void invalidFilesChangeNothing() throws Exception {
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
    int failed = metric("reloads_failed"); // its answer comes after the reload
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
   * A reload makes a class stricter, removes it or allows fewer attempts: requests in flight keep
   * the settings with which they were accepted.
   */
  @Test
  void requestsInFlightKeepTheirSettings() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    String stricter = currentConfig.replace("read_like", "non_idempotent");
    for (String text :
        new String[] {
          currentConfig,
          stricter,
          currentConfig.replace("\"maxDispatches\":3", "\"maxDispatches\":1"),
          currentConfig.replace("\"name\":\"buy\"", "\"name\":\"let\"")
        }) {
      Socket socket = connect(); // its first attempt fails after the reload
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

  /**
   * Valid and invalid files at random moments under load: each is counted, all requests answered.
   */
  @Test
  void everyReloadIsCountedAndEveryRequestAnswered() throws Exception {
    AtomicInteger requestsSent = new AtomicInteger();
    AtomicInteger unexpectedAnswers = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    AtomicBoolean isStopping = new AtomicBoolean();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          startThread(
              () -> {
                while (!isStopping.get()) {
                  String answer =
                      call(request(requestsSent.incrementAndGet() % 2 == 0 ? "pay" : "sell"));
                  if (!answer.matches("200 s\\d.*|404 .*sell.*")) {
                    unexpectedAnswers.incrementAndGet();
                  }
                }
              }));
    }
    Random random = new Random(1);
    for (int i = 0; i < RELOADS; i++) {
      String text =
          random.nextBoolean() ? currentConfig : currentConfig.replace("]}}", SELL_CLASS + "]}}");
      text =
          text.replace(
              "1500000",
              Integer.toString(
                  MIN_CLIENT_TIMEOUT_MICROS + random.nextInt(CLIENT_TIMEOUT_SPREAD_MICROS)));
      boolean isComplete = random.nextInt(3) > 0;
      reload(isComplete ? text : text.substring(0, random.nextInt(text.length())));
      Thread.sleep(random.nextInt(10));
    }
    Thread.sleep(100);
    isStopping.set(true);
    for (Thread client : clients) {
      client.join(2000);
    }
    assertEquals(0, unexpectedAnswers.get(), "unexpected answers to " + requestsSent + " requests");
    assertTrue(
        requestsSent.get() > RELOADS,
        "expected more than " + RELOADS + " requests, got " + requestsSent);
    int reloadsApplied = metric("reloads_ok");
    assertEquals(RELOADS, reloadsApplied + metric("reloads_failed"));
    assertTrue(
        reloadsApplied > RELOADS / 3,
        "expected more than " + RELOADS / 3 + " reloads to be applied, got " + reloadsApplied);
  }

  /**
   * Guards against proxies that keep their old settings unnoticed: a JVM does not receive SIGHUP if
   * its parent process ignores that signal, as nohup does. The log has a line that says so.
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
