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
  /** Guards against connections reset at shutdown whose requests wait in the accept queue. */
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
    Thread.sleep(50); // by then the shutdown is queued in the event loop
    pause.release();
    for (Socket client : clients) {
      String answer = readAnswer(client);
      assertTrue(answer.matches("(200|503).*"), "expected 200 or 503, got " + answer);
      client.close();
    }
  }

  /** Shutdown before the first endpoint list: connected clients are rejected, not reset. */
  @Test
  void shutdownBeforeReadyRejectsConnectedClients() throws Exception {
    int listPort = listen(endpointList::serve).getLocalPort();
    run(new ProxyServer(new ProxyConfig(Json.object(config(listPort)))));
    try (Socket client = connect()) {
      send(client, request("buy"));
      startThread(server::shutdown);
      String answer = readAnswer(client);
      assertTrue(answer.startsWith("503"), "expected 503, got " + answer);
    }
  }

  /** Guards against closing a connection as idle at shutdown when an unread request is on it. */
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
      Thread.sleep(100); // by then the socket has received it, but the loop has not read it
      pause.release();
      assertEquals("200 played close", readAnswer(client));
    }
  }

  /** A request is received completely just before the shutdown ends: it is answered before that. */
  @Test
  void lateRequestIsAnsweredBeforeShutdownEnds() throws Exception {
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
          "new connections are refused",
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
      Socket unansweredSocket = accept(firstListener);
      readRequest(unansweredSocket);
      String answer = readAnswer(client);
      assertTrue(answer.matches("50[24].*"), "expected 502 or 504, got " + answer);
    }
  }

  /** SIGHUP and a second SIGTERM during shutdown: requests are answered, and all threads end. */
  @Test
  void furtherSignalsDuringShutdownChangeNothing() throws Exception {
    startProxyWithOneBackend("\"drain_ms\":1000", "\"drain_ms\":0");
    try (Socket client = connect()) {
      Socket heldSocket = sendAndAccept(client, request("pay"), firstListener);
      LoopPause pause = pauseLoopAt("CLOSING");
      Thread firstShutdown = startThread(server::shutdown);
      Thread secondShutdown = startThread(server::shutdown);
      pause.awaitReached();
      server.reload(Files.writeString(folder.resolve("config.json"), config));
      pause.release();
      await("the configuration is reloaded", () -> metric("reloads_ok") == 1);
      writeAnswer(heldSocket, "200", "", "answered");
      assertEquals("200 answered close", readAnswer(client));
      firstShutdown.join(TIMEOUT_MILLIS);
      secondShutdown.join(TIMEOUT_MILLIS);
      serverThread.join(TIMEOUT_MILLIS);
      assertFalse(
          serverThread.isAlive() || firstShutdown.isAlive() || secondShutdown.isAlive(),
          "the event loop or a shutdown thread is still running");
    }
  }

  private static Socket sendRequest(Socket client, String text) throws IOException {
    send(client, text);
    return client;
  }
}
