package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.requestId;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client disconnects while its request waits: the proxy detects that during the wait, and does
 * not forward the request afterwards. Guards against a disconnect that stays undetected because the
 * proxy stops reading: bytes after the request, or the unread rest of a long body, come before it.
 */
class ClientDisconnectTest extends ManualBackendHarness {
  /** What the request is waiting for when its client disconnects. */
  enum Wait {
    CONNECTION_OPENS,
    CONNECTION_IS_FREED,
    BETWEEN_ATTEMPTS,
    LOAD_PROBE,
    BODY
  }

  /** What the client has sent after its request's head or small body when it disconnects. */
  enum ExtraBytes {
    NONE,
    SECOND_REQUEST,
    FLOOD,
    PART_OF_BODY,
    COMPLETE_BODY
  }

  private static final int FLOOD_BYTES = 300_000;

  /** The length of a body that is too long to be kept for a retry. */
  private static final int LONG_BODY_BYTES = 200_000;

  /** The length of a body that is too long to be read ahead completely. */
  private static final int HUGE_BODY_BYTES = 1_700_000;

  /** How long after a disconnect attempts may still begin. */
  private static final int GRACE_MILLIS = 100;

  /** More than five sixths of the response target, after which a request is hedged. */
  private static final int HEDGE_DELAY_MILLIS = 1200;

  /** Within this time the kernel retransmits the SYN of a connection that was not accepted. */
  private static final int SYN_RETRY_MILLIS = 1500;

  private static final int BURST_CLIENTS = 250;

  /** One of this many clients of the burst stays connected. */
  private static final int STAYING_CLIENT_INTERVAL = 5;

  private ServerSocket listener;
  private Socket heldSocket;

  static Stream<Arguments> waitsAndExtraBytes() {
    return Arrays.stream(Wait.values())
        .flatMap(
            wait ->
                Arrays.stream(ExtraBytes.values())
                    .filter(
                        extraBytes ->
                            wait != Wait.BODY
                                || extraBytes == ExtraBytes.NONE
                                || extraBytes == ExtraBytes.PART_OF_BODY)
                    .flatMap(
                        extraBytes ->
                            Stream.of(false, true)
                                .map(reset -> Arguments.of(wait, extraBytes, reset))));
  }

  @ParameterizedTest(name = "{0}, with {1}, reset {2}")
  @MethodSource("waitsAndExtraBytes")
  void disconnectDuringAWaitIsDetected(Wait wait, ExtraBytes extraBytes, boolean isReset)
      throws Exception {
    listener = listenWithoutAccepting(1);
    startProxy(
        configWithLongTimes(
            wait == Wait.LOAD_PROBE ? AttemptKind.AFTER_LOAD_PROBE : AttemptKind.FIRST),
        ""); // a load probe may take a thirtieth of the response target
    Socket otherClient = wait == Wait.CONNECTION_IS_FREED ? holdOtherRequest() : null;
    if (wait == Wait.CONNECTION_OPENS || wait == Wait.CONNECTION_IS_FREED) {
      fillAcceptQueue(listener);
    }
    Socket client = connect();
    String text = request("buy");
    sendWithExtraBytes(client, text, wait, extraBytes);
    if (wait != Wait.BODY || extraBytes == ExtraBytes.PART_OF_BODY) {
      await("the request is in flight", () -> metric("in_flight") == (otherClient == null ? 1 : 2));
    }
    holdRequest(wait, extraBytes);
    disconnect(client, isReset ? Disconnection.RST : Disconnection.FIN);
    await("the disconnect is detected", () -> metric("in_flight") == (otherClient == null ? 0 : 1));
    endWait(wait);
    if (otherClient != null) {
      assertEquals("200 first", readAnswer(otherClient));
      otherClient.close();
    }
    callUntilAnswered(); // the backend is ejected for a while because it did not answer
    assertNotReceived(text);
  }

  /** Holds the request of another client, which stays connected, at the backend. */
  private Socket holdOtherRequest() throws IOException {
    Socket otherClient = connect();
    heldSocket = sendAndAccept(otherClient, request("pay"), listener);
    return otherClient;
  }

  private static void sendWithExtraBytes(
      Socket client, String text, Wait wait, ExtraBytes extraBytes) throws IOException {
    boolean hasLongBody =
        extraBytes == ExtraBytes.PART_OF_BODY
            || extraBytes == ExtraBytes.COMPLETE_BODY
            || wait == Wait.BODY;
    send(client, hasLongBody ? withLongBody(text, LONG_BODY_BYTES) : text);
    byte[] extra =
        switch (extraBytes) {
          case NONE -> new byte[wait == Wait.BODY ? 10 : 0];
          case SECOND_REQUEST -> text.getBytes(StandardCharsets.ISO_8859_1);
          case FLOOD -> new byte[FLOOD_BYTES];
          case PART_OF_BODY -> new byte[LONG_BODY_BYTES / 2];
          case COMPLETE_BODY -> new byte[LONG_BODY_BYTES];
        };
    client.getOutputStream().write(extra);
  }

  /** The head of this request with a longer Content-Length, without a body. */
  private static String withLongBody(String request, int length) {
    return request.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + length + "\r\n\r\n");
  }

  /** Prepares the backends so that the request waits until {@link #endWait}. */
  private void holdRequest(Wait wait, ExtraBytes extraBytes) throws Exception {
    if (wait == Wait.BETWEEN_ATTEMPTS) {
      heldSocket = accept(listener);
      if (extraBytes != ExtraBytes.PART_OF_BODY && extraBytes != ExtraBytes.COMPLETE_BODY) {
        readRequest(heldSocket); // otherwise its body is incomplete
      }
      ServerSocket secondListener = addSecondBackend(true);
      rejectAsNotStarted(heldSocket);
      answerAll(listener);
      listener = secondListener;
    } else if (wait == Wait.LOAD_PROBE
        || wait == Wait.BODY && extraBytes == ExtraBytes.PART_OF_BODY) {
      heldSocket = accept(listener);
    }
  }

  private void endWait(Wait wait) throws IOException {
    answerAll(listener);
    if (wait == Wait.CONNECTION_IS_FREED) {
      writeAnswer(heldSocket, "200", "", "first");
    }
    if (heldSocket != null && wait != Wait.BETWEEN_ATTEMPTS) {
      startThread(() -> answerAll(heldSocket));
    }
  }

  /** Which attempt is waiting when the client disconnects, or what the attempt is waiting for. */
  enum AttemptKind {
    FIRST,
    SECOND,
    THIRD,
    HEDGED,
    ON_FREED_CONNECTION,
    AFTER_LOAD_PROBE
  }

  /**
   * How the client disconnects. If it stays connected, the attempt is made: that shows that the
   * test can fail.
   */
  enum Disconnection {
    FIN,
    RST,
    HALF_CLOSED,
    STAYS
  }

  static Stream<Arguments> attemptsAndDisconnections() {
    return Arrays.stream(AttemptKind.values())
        .flatMap(
            attempt ->
                Arrays.stream(Disconnection.values())
                    .filter(
                        disconnection ->
                            attempt.ordinal() < 2
                                || disconnection == Disconnection.FIN
                                || disconnection == Disconnection.STAYS)
                    .map(disconnection -> Arguments.of(attempt, disconnection)));
  }

  /** The wait ends a tenth of a second after the disconnect: no attempt begins any more. */
  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("attemptsAndDisconnections")
  void noAttemptBeginsATenthOfASecondAfterTheDisconnect(
      AttemptKind attempt, Disconnection disconnection) throws Exception {
    listener = listenWithoutAccepting(1);
    startProxy(configWithLongTimes(attempt), "");
    Socket otherClient = attempt == AttemptKind.ON_FREED_CONNECTION ? holdOtherRequest() : null;
    if (attempt == AttemptKind.FIRST || attempt == AttemptKind.ON_FREED_CONNECTION) {
      fillAcceptQueue(listener);
    }
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    await("the request is in flight", () -> metric("in_flight") == (otherClient == null ? 1 : 2));
    switch (attempt) {
      case SECOND -> listener = rejectFirstAttempt(true);
      case THIRD -> {
        ServerSocket secondListener = rejectFirstAttempt(false);
        Socket secondSocket = accept(secondListener);
        readRequest(secondSocket);
        fillAcceptQueue(listener);
        rejectAsNotStarted(secondSocket);
        await("two attempts are counted", () -> metric("attempts") == 2);
        Thread.sleep(GRACE_MILLIS);
      }
      case HEDGED, AFTER_LOAD_PROBE -> heldSocket = accept(listener);
      default -> {}
    }
    if (attempt == AttemptKind.HEDGED) {
      readRequest(heldSocket);
      listener = addSecondBackend(true);
      Thread.sleep(HEDGE_DELAY_MILLIS); // by then the hedged attempt waits for its connection there
    }
    disconnect(client, disconnection);
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    if (attempt == AttemptKind.ON_FREED_CONNECTION) {
      writeAnswer(heldSocket, "200", "", "first");
    }
    if (attempt == AttemptKind.ON_FREED_CONNECTION || attempt == AttemptKind.AFTER_LOAD_PROBE) {
      startThread(() -> answerAll(heldSocket));
    }
    if (disconnection == Disconnection.STAYS) {
      await("the request is forwarded", () -> receivedIds.contains(requestId(text)));
    } else {
      Thread.sleep(SYN_RETRY_MILLIS); // the SYN of a late connection is retransmitted after 1 s
      assertNotReceived(text);
    }
    client.close();
  }

  private String configWithLongTimes(AttemptKind attempt) throws IOException {
    String config =
        configWithEndpoints(endpoint("s0", "SERVING", listener.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000")
            .replace(":1500000", ":90000000");
    return switch (attempt) {
      case HEDGED -> config.replace("\"mayCancel\"", "\"mayDuplicate\":true,\"mayCancel\"");
      case AFTER_LOAD_PROBE ->
          withLoadProbes(config.replace(":1000000,\"group", ":90000000,\"group"));
      default -> config.replace(":1000000,\"group", ":90000000,\"group");
    };
  }

  private static String withLoadProbes(String config) {
    return config
        .replace("\"maxDispatches\"", "\"probing\":true,\"maxDispatches\"")
        .replace(
            "{\"balancers\"",
            "{\"report\":{\"how\":\"probe\",\"fields\":[\"rif\",\"q\"]}," + "\"balancers\"");
  }

  /** Adds a second backend to the endpoint list, whose accept queue is full or has space. */
  private ServerSocket addSecondBackend(boolean isQueueFull) throws Exception {
    ServerSocket secondListener = listenWithoutAccepting(isQueueFull ? 1 : BACKLOG);
    if (isQueueFull) {
      fillAcceptQueue(secondListener);
    }
    endpointList.send(listLine(2, false, endpoint("s1", "SERVING", secondListener.getLocalPort())));
    await("the second backend is known", () -> metric("backends_known") == 2);
    return secondListener;
  }

  /** Rejects the first attempt as not started, once a second backend is known for the retry. */
  private ServerSocket rejectFirstAttempt(boolean isQueueFull) throws Exception {
    heldSocket = accept(listener);
    readRequest(heldSocket);
    ServerSocket secondListener = addSecondBackend(isQueueFull);
    rejectAsNotStarted(heldSocket);
    return secondListener;
  }

  /** Answers that the request was not started, so that it is retried at another backend. */
  private static void rejectAsNotStarted(Socket socket) throws IOException {
    writeAnswer(socket, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
  }

  private static void disconnect(Socket client, Disconnection disconnection) throws IOException {
    switch (disconnection) {
      case FIN -> client.close();
      case RST -> {
        client.setSoLinger(true, 0);
        client.close();
      }
      case HALF_CLOSED -> client.shutdownOutput();
      default -> {}
    }
  }

  /**
   * Two hundred of 250 clients disconnect at the same time: only requests of the fifty that stay
   * connected are forwarded.
   */
  @Test
  @Tag("known-red")
  void onlyRequestsOfConnectedClientsAreForwardedAfterABurst() throws Exception {
    listener = listenWithoutAccepting(1);
    startProxy(configWithLongTimes(AttemptKind.FIRST), "");
    fillAcceptQueue(listener);
    List<Socket> disconnectingClients = new ArrayList<>();
    Set<String> disconnectedIds = new HashSet<>();
    Set<String> stayingIds = new HashSet<>();
    for (int i = 0; i < BURST_CLIENTS; i++) {
      Socket client = connect();
      String text = request("buy");
      send(client, text);
      if (i % STAYING_CLIENT_INTERVAL == 0) {
        stayingIds.add(requestId(text));
      } else {
        disconnectingClients.add(client);
        disconnectedIds.add(requestId(text));
      }
    }
    await("a request is in flight", () -> metric("in_flight") > 0);
    for (Socket client : disconnectingClients) {
      disconnect(
          client,
          disconnectingClients.indexOf(client) % 2 == 0 ? Disconnection.FIN : Disconnection.RST);
    }
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    await(
        "a request of a connected client is forwarded",
        () -> List.copyOf(receivedIds).stream().anyMatch(stayingIds::contains));
    Thread.sleep(SYN_RETRY_MILLIS);
    assertEquals(
        Set.of(),
        List.copyOf(receivedIds).stream()
            .filter(disconnectedIds::contains)
            .collect(Collectors.toSet()),
        "forwarded requests of disconnected clients");
  }

  /**
   * A disconnect after a body that is too long to be read ahead is detected late: the request may
   * be forwarded, but its body is never complete.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void longBodyOfADisconnectedClientIsNeverForwardedCompletely(boolean isDisconnecting)
      throws Exception {
    listener = listenWithoutAccepting(1);
    startProxy(configWithLongTimes(AttemptKind.FIRST), "");
    fillAcceptQueue(listener);
    Socket client = connect();
    String text = withLongBody(request("buy"), HUGE_BODY_BYTES);
    send(client, text);
    Thread writer = startThread(() -> client.getOutputStream().write(new byte[HUGE_BODY_BYTES]));
    await("the request is in flight", () -> metric("in_flight") == 1);
    if (isDisconnecting) {
      writer.join(TIMEOUT_MILLIS);
      client.close();
    }
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    if (isDisconnecting) {
      Thread.sleep(SYN_RETRY_MILLIS);
      assertNotReceived(text);
    } else {
      await("the request is received completely", () -> receivedIds.contains(requestId(text)));
    }
  }
}
