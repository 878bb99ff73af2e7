package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** Pairs of concurrent events, one of which is the shutdown of the proxy. */
class ShutdownEventsTest extends OneBackendHarness {
  /** Shutdown while clients with requests are in the accept queue: they were reset once. */
  @Test
  void clientsInTheAcceptQueueAreAnsweredDuringShutdown() throws Exception {
    startProxyWithOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    answerAll(firstListener);
    LoopPause pause = pauseLoopInReload(config);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(sendRequest(connect(), request("buy")));
    }
    startThread(server::shutdown);
    Thread.sleep(50); // the shutdown is queued in the event loop then
    pause.release();
    for (Socket client : clients) {
      assertTrue(readAnswer(client).matches("(200|503).*"));
      client.close();
    }
  }

  /** Shutdown before the first list: clients that have connected are rejected, not reset. */
  @Test
  void shutdownBeforeReadyRejectsConnectedClients() throws Exception {
    int listPort = listen(endpointList::serve).getLocalPort();
    run(new ProxyServer(new ProxyConfig(Json.object(config(listPort)))));
    try (Socket client = connect()) {
      send(client, request("buy"));
      startThread(server::shutdown);
      assertTrue(readAnswer(client).startsWith("503"));
    }
  }

  /** A connection is closed as idle at the end, while a request on it has not been read yet. */
  @Test
  void requestThatArrivesDuringShutdownIsAnswered() throws Exception {
    startProxyWithOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    answerAll(firstListener);
    try (Socket client = connect()) {
      assertEquals("200 played", call(client, request("buy")));
      LoopPause pause = pauseLoopAt("CLOSING");
      startThread(server::shutdown);
      pause.awaitReached();
      send(client, request("buy"));
      Thread.sleep(100); // the channel has read it, the loop has not
      pause.release();
      assertEquals("200 played close", readAnswer(client));
    }
  }

  /** A request is complete only shortly before the end: it is answered before the process ends. */
  @Test
  void lateRequestIsAnsweredBeforeTheProcessEnds() throws Exception {
    startProxyWithOneBackend(
        "\"drain_ms\":1000",
        "\"drain_ms\":0",
        "\"responseTarget\":1000000",
        "\"responseTarget\":1500000");
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text.substring(0, 30));
      Thread.sleep(50);
      startThread(server::shutdown);
      await(
          "closing",
          () -> {
            try {
              connect().close();
              return false;
            } catch (IOException refused) {
              return true;
            }
          });
      Thread.sleep(500);
      send(client, text.substring(30));
      Socket unanswered = accept(firstListener);
      readRequest(unanswered);
      assertTrue(readAnswer(client).matches("50[24].*"));
    }
  }

  /** SIGHUP and a second SIGTERM during shutdown: requests are answered, and it ends once. */
  @Test
  void furtherSignalsDuringShutdownChangeNothing() throws Exception {
    startProxyWithOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    try (Socket client = connect()) {
      Socket heldSocket = sendAndAccept(client, request("pay"), firstListener);
      LoopPause pause = pauseLoopAt("CLOSING");
      Thread firstEnd = startThread(server::shutdown);
      Thread secondEnd = startThread(server::shutdown);
      pause.awaitReached();
      server.reload(Files.writeString(folder.resolve("config.json"), config));
      pause.release();
      await("read again", () -> metric("reloads_ok") == 1);
      writeAnswer(heldSocket, "200", "", "answered");
      assertEquals("200 answered close", readAnswer(client));
      firstEnd.join(TIMEOUT_MILLIS);
      secondEnd.join(TIMEOUT_MILLIS);
      serverThread.join(TIMEOUT_MILLIS);
      assertFalse(serverThread.isAlive() || firstEnd.isAlive() || secondEnd.isAlive());
    }
  }

  private static Socket sendRequest(Socket client, String text) throws IOException {
    send(client, text);
    return client;
  }
}
