package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.requestId;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Pairs of concurrent events on connections to a backend or during a reload. */
class ConcurrentEventsTest extends OneBackendHarness {
  /** Longer than the client timeout of 1.5 s, after which a request's deadline has passed. */
  private static final int PAST_DEADLINE_MILLIS = 2000;

  private Socket heldSocket;

  /**
   * Guards against a wrong answer: a backend sends a second answer to a request some milliseconds
   * after the first one, when the next request already uses the same connection.
   */
  @Test
  void surplusAnswerIsNotTakenForTheNextRequest() throws Exception {
    startProxyWithOneBackend("\"dialTimeout\":250000", "\"dialTimeout\":20000000");
    try (Socket client = connect()) {
      Socket firstSocket = sendAndAccept(client, request("buy"), firstListener);
      writeAnswer(firstSocket, "200", "", "its own");
      assertEquals("200 its own", readAnswer(client));
      String nextRequest = request("buy");
      send(client, nextRequest);
      await(
          "the request is in flight",
          () -> metric("in_flight") == 1); // on the first connection, which is reused immediately
      writeAnswer(firstSocket, "200", "", "surplus");
      Socket secondSocket = accept(firstListener);
      assertEquals(requestId(nextRequest), readRequest(secondSocket));
      assertEquals("end", readRequest(firstSocket));
      writeAnswer(secondSocket, "200", "", "its own, too");
      assertEquals("200 its own, too", readAnswer(client));
    }
  }

  /** A backend closes an idle connection before or after the next request is assigned to it. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestIsAnsweredAlthoughItsIdleConnectionCloses(boolean isClosedBeforeRequest)
      throws Exception {
    startProxyWithOneBackend();
    try (Socket client = connect()) {
      Socket firstSocket = sendAndAccept(client, request("pay"), firstListener);
      writeAnswer(firstSocket, "200", "", "one");
      assertEquals("200 one", readAnswer(client));
      Thread.sleep(50); // by then the connection is idle
      LoopPause pause = pauseLoopInReload(config);
      String nextRequest = request("pay");
      if (isClosedBeforeRequest) {
        firstSocket.close();
      }
      send(client, nextRequest);
      Thread.sleep(50); // by then the loop can read both, the request first
      firstSocket.close();
      Thread.sleep(50);
      pause.release();
      Socket secondSocket = accept(firstListener);
      assertEquals(requestId(nextRequest), readRequest(secondSocket));
      writeAnswer(secondSocket, "200", "", "two");
      assertEquals("200 two", readAnswer(client));
    }
  }

  /**
   * Guards against the reuse of a connection that has been idle for longer than the idle timeout of
   * a reload.
   */
  @Test
  void reloadWithShorterIdleTimeoutClosesIdleConnections() throws Exception {
    startProxyWithOneBackend();
    call(answeredOnNewConnection(request("buy")));
    Socket firstSocket = heldSocket;
    Thread.sleep(100);
    Path file =
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("\"idleClose\":30000000", "\"idleClose\":50000"));
    server.reload(file);
    assertEquals("end", readRequest(firstSocket));
    assertEquals("200 played", call(answeredOnNewConnection(request("buy"))));
    assertNotEquals(firstSocket, heldSocket);
  }

  /**
   * Starts a backend that answers one request on a new {@link #heldSocket}; returns the request.
   */
  private String answeredOnNewConnection(String text) {
    startThread(
        () -> {
          heldSocket = accept(firstListener);
          readRequest(heldSocket);
          writeAnswer(heldSocket, "200", "", "played");
        });
    return text;
  }

  /**
   * Guards against the reuse of a connection to an earlier address or process: a backend moves or
   * restarts while the connection is busy, so it has to be closed after its answer.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void busyConnectionOfAMovedBackendClosesAfterItsAnswer(boolean isRestart) throws Exception {
    startProxyWithOneBackend();
    try (Socket client = connect()) {
      Socket firstSocket = sendAndAccept(client, request("buy"), firstListener);
      String endpoint =
          endpoint("s0", "SERVING", (isRestart ? firstListener : secondListener).getLocalPort());
      if (isRestart) {
        Thread.sleep(5); // so that the connection is older than boot_ms
        endpoint = endpoint.replace("}", ",'boot_ms':" + System.currentTimeMillis() + "}");
      }
      endpointList.send(
          listLine(2, false, endpoint, endpoint("s1", "DRAINING", secondListener.getLocalPort())));
      await("the endpoint list is applied", () -> metric("backends_known") == 2);
      writeAnswer(firstSocket, "200", "", "old");
      assertEquals("200 old", readAnswer(client));
      assertEquals("end", readRequest(firstSocket));
      answerAll(isRestart ? firstListener : secondListener);
      callUntilAnsweredOrFail(client);
    }
  }

  /** A backend moves while a connection to it is opened: the request is sent to the new address. */
  @Test
  void waitingRequestFollowsAMovedBackend() throws Exception {
    startProxyWithFullAcceptQueue();
    try (Socket client = connect()) {
      send(client, request("pay"));
      await("the request is in flight", () -> metric("in_flight") == 1);
      endpointList.send(
          listLine(2, false, endpoint("s0", "SERVING", secondListener.getLocalPort())));
      Socket moved = accept(secondListener);
      readRequest(moved);
      writeAnswer(moved, "200", "", "moved");
      assertEquals("200 moved", readAnswer(client));
    }
  }

  /** A backend drains, and may be serving again, before a connection to it is open. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void nothingIsSentToABackendThatDrainsWhileConnecting(boolean isListedAgain) throws Exception {
    startProxyWithFullAcceptQueue();
    String endpoint = endpoint("s0", "SERVING", firstListener.getLocalPort());
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      await("the request is in flight", () -> metric("in_flight") == 1);
      endpointList.send(listLine(2, false, endpoint.replace("SERVING", "DRAINING")));
      assertEquals("503", readAnswer(client).substring(0, 3));
      if (isListedAgain) {
        endpointList.send(listLine(3, false, endpoint));
      }
      answerAll(firstListener);
      if (isListedAgain) {
        callUntilAnswered();
      }
      assertNotReceived(text);
    }
  }

  /** Bytes after an answer, or endless interim answers, are not passed on to the next request. */
  @Test
  void malformedAnswersAffectNoOtherRequest() throws Exception {
    startProxyWithOneBackend("\"dialTimeout\":250000", "\"dialTimeout\":20000");
    try (Socket client = connect()) {
      Socket firstSocket = sendAndAccept(client, request("buy"), firstListener);
      String ownAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
      send(firstSocket, ownAnswer + ownAnswer.replace("own", "bad"));
      assertEquals("200 own", readAnswer(client));
      assertEquals("end", readRequest(firstSocket).replace("reset", "end"));
      Socket secondSocket = sendAndAccept(client, request("pay"), firstListener);
      startThread(
          () -> {
            while (true) {
              send(secondSocket, "HTTP/1.1 102 Processing\r\n\r\n".repeat(50));
            }
          });
      assertEquals("50", readAnswer(client).substring(0, 2));
      answerAll(firstListener);
      callUntilAnsweredOrFail(client);
    }
  }

  /** The event loop is paused until after a request's deadline, while its connection is opened. */
  @Test
  void nothingIsSentAfterTheDeadline() throws Exception {
    startProxyWithFullAcceptQueue();
    try (Socket client = connect()) {
      String text = request("pay");
      send(client, text);
      await("the request is in flight", () -> metric("in_flight") == 1);
      LoopPause pause = pauseLoopInReload(config);
      answerAll(firstListener); // the SYN is retransmitted a second after the first one
      Thread.sleep(PAST_DEADLINE_MILLIS);
      pause.release();
      String answer = readAnswer(client);
      assertTrue(answer.startsWith("50"), "expected a status from 500 to 509, got " + answer);
      callUntilAnswered();
      assertNotReceived(text);
    }
  }

  /** A client retries after a disconnect: no second attempt runs at the same time as the first. */
  @Test
  void sameIdIsRejectedWhileItsFirstAttemptIsInFlight() throws Exception {
    startProxyWithOneBackend("\"mayCancel\":true", "\"mayCancel\":false");
    String text = request("pay");
    Socket client = connect();
    send(client, text);
    Socket firstSocket = accept(firstListener);
    assertEquals(requestId(text), readRequest(firstSocket));
    client.close();
    await("the disconnect is detected", () -> metric("in_flight") == 0);
    assertEquals("409 a request with this Request-Id is open", call(text));
    assertEquals(1, metric("attempts"));
    writeAnswer(firstSocket, "200", "", "late");
  }

  /** A client disconnects while the event loop is paused, before its request is read. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestUnreadBeforeTheDisconnectIsNotForwarded(boolean isReset) throws Exception {
    startProxyWithOneBackend();
    answerAll(firstListener);
    call(request("buy"));
    LoopPause pause = pauseLoopInReload(config);
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    if (isReset) {
      client.setSoLinger(true, 0);
    }
    client.close();
    pause.release();
    assertEquals("200 played", call(request("buy")));
    assertNotReceived(text);
  }

  /**
   * Guards against a backend that waits 10 s for the rest of a body: the client disconnects within
   * its long body, so the proxy has to close the connection to the backend.
   */
  @Test
  void disconnectDuringBodyEndsTheAttempt() throws Exception {
    startProxyWithOneBackend("\"mayCancel\":true", "\"mayCancel\":false");
    Socket client = connect();
    send(
        client,
        request("pay").replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 200000\r\n\r\n"));
    client.getOutputStream().write(new byte[50_000]);
    Socket firstSocket = accept(firstListener);
    readHead(firstSocket.getInputStream());
    firstSocket.getInputStream().readNBytes(40_000);
    client.close();
    int restBytes = firstSocket.getInputStream().readAllBytes().length;
    assertTrue(restBytes < 20_000, "expected less than 20000 further bytes, got " + restBytes);
    assertEquals(0, metric("attempts"));
  }

  /**
   * Guards against a proxy that takes another zone for its own: a reload changes the order of the
   * zones, and with it the index of its zone.
   */
  @Test
  void reloadKeepsTheOwnZone() throws Exception {
    startProxyWithOneBackend(
        "{\"balancers\"",
        "{\"prices\":{\"crossZone\":1},\"zone\":0,\"balancers\"",
        "[\"a\"]",
        "[\"a\",\"b\"]");
    endpointList.send(
        listLine(
            2,
            false,
            endpoint("s1", "SERVING", secondListener.getLocalPort())
                .replace("'az':'a'", "'az':'b'")));
    await("the endpoint list is applied", () -> metric("backends_known") == 2);
    server.reload(
        Files.writeString(
            folder.resolve("config.json"),
            config.replace("[\"a\",\"b\"]", "[\"b\",\"a\"]").replace("\"zone\":0", "\"zone\":1")));
    await("the configuration is reloaded", () -> metric("reloads_ok") == 1);
    answerAll(firstListener);
    assertEquals("200 played", call(request("buy")));
    secondListener.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, () -> secondListener.accept());
  }

  /** Sends requests until one is answered; fails if one gets another answer than 503 before. */
  private static void callUntilAnsweredOrFail(Socket client) throws IOException {
    String answer = call(client, request("buy"));
    while (!answer.equals("200 played")) {
      assertTrue(answer.startsWith("503"), "expected 503, got " + answer);
      answer = call(client, request("buy"));
    }
  }
}
