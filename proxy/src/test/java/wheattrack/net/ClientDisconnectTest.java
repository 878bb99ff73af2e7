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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that disconnects while its request waits: that is seen while the wait still lasts, and
 * nothing is forwarded once the wait is over. Bytes behind a request, or a long body that was not
 * read, once hid the disconnect.
 */
class ClientDisconnectTest extends ManualBackendHarness {
  /** What the request waits for when its client disconnects. */
  enum Wait {
    CONNECTION_OPENS,
    CONNECTION_IS_FREED,
    BETWEEN_ATTEMPTS,
    LOAD_PROBE,
    BODY
  }

  /** What the client has sent behind its request's head or small body when it disconnects. */
  enum ExtraBytes {
    NONE,
    SECOND_REQUEST,
    FLOOD,
    PART_OF_BODY,
    COMPLETE_BODY
  }

  private static final int FLOOD_BYTES = 300_000;

  /** More than is kept of a body, in bytes. */
  private static final int LONG_BODY_BYTES = 200_000;

  /** More of a body than is read ahead, in bytes. */
  private static final int HUGE_BODY_BYTES = 1_700_000;

  /** This time after a client has disconnected no attempt begins any more. */
  private static final int GRACE_MILLIS = 100;

  /** More than five sixths of the response target, after which a request is hedged. */
  private static final int HEDGE_DELAY_MILLIS = 1200;

  /** The kernel retransmits the SYN of a connection that was not accepted within this time. */
  private static final int SYN_RETRY_MILLIS = 1500;

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
  void disconnectDuringAWaitIsSeen(Wait wait, ExtraBytes extraBytes, boolean isReset)
      throws Exception {
    listener = listenByHand(1);
    startProxy(
        configWithLongTimes(
            wait == Wait.LOAD_PROBE ? AttemptKind.AFTER_LOAD_PROBE : AttemptKind.FIRST),
        ""); // load probes are waited for a thirtieth of the response target
    Socket otherClient = wait == Wait.CONNECTION_IS_FREED ? holdOtherRequest() : null;
    if (wait == Wait.CONNECTION_OPENS || wait == Wait.CONNECTION_IS_FREED) {
      fillAcceptQueue(listener);
    }
    Socket client = connect();
    String text = request("buy");
    sendWithExtraBytes(client, text, wait, extraBytes);
    if (wait != Wait.BODY || extraBytes == ExtraBytes.PART_OF_BODY) {
      await("in flight", () -> metric("in_flight") == (otherClient == null ? 1 : 2));
    }
    holdRequest(wait, extraBytes);
    leave(client, isReset ? Departure.RST : Departure.FIN);
    await("the disconnect is seen", () -> metric("in_flight") == (otherClient == null ? 0 : 1));
    endWait(wait);
    if (otherClient != null) {
      assertEquals("200 first", readAnswer(otherClient));
      otherClient.close();
    }
    callUntilAnswered(); // the backend is ejected as silent for a while
    assertNotReceived(text);
  }

  /** Another client's request, which nothing cancels, is held at the backend. */
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

  /** The head of this request, with a longer body announced. */
  private static String withLongBody(String request, int length) {
    return request.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + length + "\r\n\r\n");
  }

  /** Holds at the backend what the wait needs until the client has left. */
  private void holdRequest(Wait wait, ExtraBytes extraBytes) throws Exception {
    if (wait == Wait.BETWEEN_ATTEMPTS) {
      heldSocket = accept(listener);
      if (extraBytes != ExtraBytes.PART_OF_BODY && extraBytes != ExtraBytes.COMPLETE_BODY) {
        readRequest(heldSocket); // else its body is not complete yet
      }
      ServerSocket second = addSecondBackend(true);
      rejectAsNotStarted(heldSocket);
      answerAll(listener);
      listener = second;
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

  /** Which attempt of the request waits when its client disconnects, and for what. */
  enum AttemptKind {
    FIRST,
    SECOND,
    THIRD,
    HEDGED,
    ON_FREED_CONNECTION,
    AFTER_LOAD_PROBE
  }

  /**
   * How the client disconnects. If it stays, the attempt is made, which proves that the test is
   * able to fail.
   */
  enum Departure {
    FIN,
    RST,
    HALF_CLOSED,
    STAYS
  }

  static Stream<Arguments> attemptsAndDepartures() {
    return Arrays.stream(AttemptKind.values())
        .flatMap(
            attempt ->
                Arrays.stream(Departure.values())
                    .filter(
                        departure ->
                            attempt.ordinal() < 2
                                || departure == Departure.FIN
                                || departure == Departure.STAYS)
                    .map(departure -> Arguments.of(attempt, departure)));
  }

  /** The wait ends a tenth of a second after the client has left: no attempt begins then. */
  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("attemptsAndDepartures")
  void noAttemptBeginsATenthOfASecondAfterTheClientLeft(AttemptKind attempt, Departure departure)
      throws Exception {
    listener = listenByHand(1);
    startProxy(configWithLongTimes(attempt), "");
    Socket otherClient = attempt == AttemptKind.ON_FREED_CONNECTION ? holdOtherRequest() : null;
    if (attempt == AttemptKind.FIRST || attempt == AttemptKind.ON_FREED_CONNECTION) {
      fillAcceptQueue(listener);
    }
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    await("in flight", () -> metric("in_flight") == (otherClient == null ? 1 : 2));
    switch (attempt) {
      case SECOND -> listener = rejectFirstAttempt(true);
      case THIRD -> {
        ServerSocket second = rejectFirstAttempt(false);
        Socket secondSocket = accept(second);
        readRequest(secondSocket);
        fillAcceptQueue(listener);
        rejectAsNotStarted(secondSocket);
        await("two attempts", () -> metric("attempts") == 2);
        Thread.sleep(GRACE_MILLIS);
      }
      case HEDGED, AFTER_LOAD_PROBE -> heldSocket = accept(listener);
      default -> {}
    }
    if (attempt == AttemptKind.HEDGED) {
      readRequest(heldSocket);
      listener = addSecondBackend(true);
      Thread.sleep(HEDGE_DELAY_MILLIS); // a hedged request waits there then
    }
    leave(client, departure);
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    if (attempt == AttemptKind.ON_FREED_CONNECTION) {
      writeAnswer(heldSocket, "200", "", "first");
    }
    if (attempt == AttemptKind.ON_FREED_CONNECTION || attempt == AttemptKind.AFTER_LOAD_PROBE) {
      startThread(() -> answerAll(heldSocket));
    }
    if (departure == Departure.STAYS) {
      await("forwarded", () -> receivedIds.contains(requestId(text)));
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

  /** Lists a second backend, whose accept queue is full or has room. */
  private ServerSocket addSecondBackend(boolean isQueueFull) throws Exception {
    ServerSocket second = listenByHand(isQueueFull ? 1 : BACKLOG);
    if (isQueueFull) {
      fillAcceptQueue(second);
    }
    endpointList.send(listLine(2, false, endpoint("s1", "SERVING", second.getLocalPort())));
    await("a second backend is known", () -> metric("backends_known") == 2);
    return second;
  }

  /** Rejects the first attempt, once there is a second backend to retry at. */
  private ServerSocket rejectFirstAttempt(boolean isQueueFull) throws Exception {
    heldSocket = accept(listener);
    readRequest(heldSocket);
    ServerSocket second = addSecondBackend(isQueueFull);
    rejectAsNotStarted(heldSocket);
    return second;
  }

  /** Answers that the request was not started, so that it is retried at another backend. */
  private static void rejectAsNotStarted(Socket socket) throws IOException {
    writeAnswer(socket, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
  }

  private static void leave(Socket client, Departure departure) throws IOException {
    switch (departure) {
      case FIN -> client.close();
      case RST -> {
        client.setSoLinger(true, 0);
        client.close();
      }
      case HALF_CLOSED -> client.shutdownOutput();
      default -> {}
    }
  }

  /** Two hundred clients leave in one burst and fifty stay: only their requests are forwarded. */
  @Test
  void ofABurstOnlyThoseThatStayedAreForwarded() throws Exception {
    listener = listenByHand(1);
    startProxy(configWithLongTimes(AttemptKind.FIRST), "");
    fillAcceptQueue(listener);
    List<Socket> leavingClients = new ArrayList<>();
    Set<String> idsGone = new HashSet<>();
    Set<String> idsStaying = new HashSet<>();
    for (int i = 0; i < 250; i++) {
      Socket client = connect();
      String text = request("buy");
      send(client, text);
      if (i % 5 == 0) {
        idsStaying.add(requestId(text));
      } else {
        leavingClients.add(client);
        idsGone.add(requestId(text));
      }
    }
    await("in flight", () -> metric("in_flight") > 0);
    for (Socket client : leavingClients) {
      leave(client, leavingClients.indexOf(client) % 2 == 0 ? Departure.FIN : Departure.RST);
    }
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    await(
        "one that stayed is forwarded",
        () -> List.copyOf(receivedIds).stream().anyMatch(idsStaying::contains));
    Thread.sleep(SYN_RETRY_MILLIS);
    assertEquals(
        Set.of(),
        List.copyOf(receivedIds).stream().filter(idsGone::contains).collect(Collectors.toSet()));
  }

  /**
   * A body longer than what is read ahead hides the disconnect: it is forwarded, but never
   * completely.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void longBodyOfAClientThatLeftIsNeverComplete(boolean isLeaving) throws Exception {
    listener = listenByHand(1);
    startProxy(configWithLongTimes(AttemptKind.FIRST), "");
    fillAcceptQueue(listener);
    Socket client = connect();
    String text = withLongBody(request("buy"), HUGE_BODY_BYTES);
    send(client, text);
    Thread writer = startThread(() -> client.getOutputStream().write(new byte[HUGE_BODY_BYTES]));
    await("in flight", () -> metric("in_flight") == 1);
    if (isLeaving) {
      writer.join(TIMEOUT_MILLIS);
      client.close();
    }
    Thread.sleep(GRACE_MILLIS);
    answerAll(listener);
    if (isLeaving) {
      Thread.sleep(SYN_RETRY_MILLIS);
      assertNotReceived(text);
    } else {
      await("received completely", () -> receivedIds.contains(requestId(text)));
    }
  }
}
