package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
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
 * A client that disconnects while its request waits: the proxy notices it while the wait lasts, and
 * forwards nothing once the wait is over. Incident: bytes behind a request, or a long body that was
 * not read on, hid the disconnect.
 */
class ClientDisconnectTest extends RawConnection {
  /**
   * What the request waits for: a connection that is slow to be made, a free connection, the next
   * attempt, the response to a load probe, or its own body.
   */
  enum RequestWait {
    SLOW_CONNECT,
    FREE_CONNECTION,
    BETWEEN_ATTEMPTS,
    LOAD_PROBE,
    BODY
  }

  /**
   * What the client has sent besides its request when it disconnects: nothing, another request,
   * many bytes, or its long body in part or completely.
   */
  enum AlsoSent {
    NOTHING,
    PIPELINED_REQUEST,
    FLOOD,
    PARTIAL_BODY,
    COMPLETE_BODY
  }

  private static final int FLOOD_BYTES = 300_000;
  private static final int LONG_BODY_BYTES = 200_000;
  private static final int HUGE_BODY_BYTES = 1_700_000;

  private ServerSocket backendSocket;
  private Socket heldConnection;

  static Stream<Arguments> disconnectCases() {
    return Arrays.stream(RequestWait.values())
        .flatMap(
            wait ->
                Arrays.stream(AlsoSent.values())
                    .filter(
                        with ->
                            wait != RequestWait.BODY
                                || with == AlsoSent.NOTHING
                                || with == AlsoSent.PARTIAL_BODY)
                    .flatMap(
                        with ->
                            Stream.of(false, true).map(reset -> Arguments.of(wait, with, reset))));
  }

  @ParameterizedTest(name = "{0}, with {1}, reset {2}")
  @MethodSource("disconnectCases")
  void disconnectWhileWaiting(RequestWait wait, AlsoSent alsoSent, boolean reset) throws Exception {
    backendSocket = door(1);
    String config =
        configFor(entry("s0", "SERVING", backendSocket.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000")
            .replace(":1500000", ":90000000")
            .replace(":1000000,\"group", ":90000000,\"group");
    serve(
        wait == RequestWait.LOAD_PROBE ? probing(config) : config,
        ""); // for a thirtieth of the response target
    Socket busyClient = wait == RequestWait.FREE_CONNECTION ? connect() : null;
    if (busyClient != null) {
      send(busyClient, request("pay")); // nothing calls it off
      heldConnection = take(backendSocket);
      read(heldConnection);
    }
    if (wait == RequestWait.SLOW_CONNECT || wait == RequestWait.FREE_CONNECTION) {
      fill(backendSocket);
    }
    Socket client = connect();
    String text = request("buy");
    sendWithExtraBytes(client, text, wait, alsoSent);
    if (wait != RequestWait.BODY || alsoSent == AlsoSent.PARTIAL_BODY) {
      until("in flight", () -> figure("in_flight") == (busyClient == null ? 1 : 2));
    }
    beginWait(wait, alsoSent);
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
    until("the client is seen to leave", () -> figure("in_flight") == (busyClient == null ? 0 : 1));
    endWait(wait);
    if (busyClient != null) {
      assertEquals("200 first", answer(busyClient));
      busyClient.close();
    }
    String after = request("buy");
    while (!call(after).equals("200 played")) { // its backend counts as silent for a while
      after = request("buy");
    }
    assertFalse(had.contains(id(text)), had + " after " + id(text));
  }

  /**
   * Sends the request, with the head of a long body where one belongs to the case, and the rest.
   */
  private static void sendWithExtraBytes(
      Socket client, String text, RequestWait wait, AlsoSent alsoSent) throws IOException {
    boolean hasLongBody =
        alsoSent == AlsoSent.PARTIAL_BODY
            || alsoSent == AlsoSent.COMPLETE_BODY
            || wait == RequestWait.BODY;
    String longBodyHead = "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n";
    String sent = hasLongBody ? text.replace("Content-Length: 2\r\n\r\nhi", longBodyHead) : text;
    client.getOutputStream().write(sent.getBytes());
    byte[] extraBytes =
        switch (alsoSent) {
          case NOTHING -> new byte[wait == RequestWait.BODY ? 10 : 0];
          case PIPELINED_REQUEST -> text.getBytes();
          case FLOOD -> new byte[FLOOD_BYTES];
          case PARTIAL_BODY -> new byte[LONG_BODY_BYTES / 2];
          case COMPLETE_BODY -> new byte[LONG_BODY_BYTES];
        };
    client.getOutputStream().write(extraBytes);
  }

  /** Holds back what the request waits for, until the client has disconnected. */
  private void beginWait(RequestWait wait, AlsoSent alsoSent)
      throws IOException, InterruptedException {
    if (wait == RequestWait.BETWEEN_ATTEMPTS) {
      heldConnection = take(backendSocket);
      if (alsoSent != AlsoSent.PARTIAL_BODY && alsoSent != AlsoSent.COMPLETE_BODY) {
        read(heldConnection); // else its body has not all been asked for
      }
      ServerSocket second = door(1);
      fill(second);
      news.add(told(2, false, entry("s1", "SERVING", second.getLocalPort())));
      until("a second backend is known", () -> figure("backends_known") == 2);
      answer(heldConnection, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
      play(backendSocket);
      backendSocket = second;
    } else if (wait == RequestWait.LOAD_PROBE
        || wait == RequestWait.BODY && alsoSent == AlsoSent.PARTIAL_BODY) {
      heldConnection = take(backendSocket);
    }
  }

  private void endWait(RequestWait wait) throws IOException {
    play(backendSocket);
    if (wait == RequestWait.FREE_CONNECTION) {
      answer(heldConnection, "200", "", "first");
    }
    if (heldConnection != null && wait != RequestWait.BETWEEN_ATTEMPTS) {
      start(() -> play(heldConnection));
    }
  }

  /**
   * What an attempt waits for: its connection, the first, second or third time, or as a second
   * copy.
   */
  enum Attempt {
    FIRST,
    SECOND,
    THIRD,
    HEDGED,
    ON_FREE_CONNECTION,
    LOAD_PROBE
  }

  /**
   * How a client goes, or that it stays: then the same attempt is made, so that the test can fail.
   */
  enum Departure {
    FIN,
    RST,
    HALF_CLOSED,
    STAYS
  }

  private static final int PAUSE_MILLIS = 100;
  private static final int CONNECT_RETRY_MILLIS = 1500;

  static Stream<Arguments> attemptCases() {
    return Arrays.stream(Attempt.values())
        .flatMap(
            attempt ->
                Arrays.stream(Departure.values())
                    .filter(
                        goes ->
                            attempt.ordinal() < 2
                                || goes == Departure.FIN
                                || goes == Departure.STAYS)
                    .map(goes -> Arguments.of(attempt, goes)));
  }

  /**
   * A tenth of a second after the client has gone the wait ends: no attempt begins, first or
   * further.
   */
  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("attemptCases")
  void noAttemptAfterDisconnect(Attempt attempt, Departure departure) throws Exception {
    backendSocket = door(1);
    serve(configWithLongTimes(attempt), "");
    Socket busyClient = attempt == Attempt.ON_FREE_CONNECTION ? connect() : null;
    if (busyClient != null) {
      send(busyClient, request("pay")); // nothing calls it off
      heldConnection = take(backendSocket);
      read(heldConnection);
    }
    if (attempt == Attempt.FIRST || attempt == Attempt.ON_FREE_CONNECTION) {
      fill(backendSocket);
    }
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    until("in flight", () -> figure("in_flight") == (busyClient == null ? 1 : 2));
    switch (attempt) {
      case SECOND -> backendSocket = rejectFirstAttempt(true);
      case THIRD -> {
        ServerSocket second = rejectFirstAttempt(false);
        Socket secondConnection = take(second);
        read(secondConnection);
        fill(backendSocket);
        answer(secondConnection, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
        until("two attempts", () -> figure("attempts") == 2);
        Thread.sleep(PAUSE_MILLIS);
      }
      case HEDGED, LOAD_PROBE -> heldConnection = take(backendSocket);
      default -> {}
    }
    if (attempt == Attempt.HEDGED) {
      read(heldConnection);
      backendSocket = addBackend(true);
      Thread.sleep(1200); // past five sixths of the target: a copy waits there
    }
    depart(client, departure);
    Thread.sleep(PAUSE_MILLIS);
    play(backendSocket);
    if (attempt == Attempt.ON_FREE_CONNECTION) {
      answer(heldConnection, "200", "", "first");
    }
    if (attempt == Attempt.ON_FREE_CONNECTION || attempt == Attempt.LOAD_PROBE) {
      start(() -> play(heldConnection));
    }
    if (departure == Departure.STAYS) {
      until("sent on", () -> had.contains(id(text)));
    } else {
      Thread.sleep(CONNECT_RETRY_MILLIS); // a connection that comes up late is tried again in 1 s
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    }
    client.close();
  }

  private String configWithLongTimes(Attempt attempt) throws IOException {
    String config =
        configFor(entry("s0", "SERVING", backendSocket.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000")
            .replace(":1500000", ":90000000");
    return switch (attempt) {
      case HEDGED -> config.replace("\"mayCancel\"", "\"mayDuplicate\":true,\"mayCancel\"");
      case LOAD_PROBE -> probing(config.replace(":1000000,\"group", ":90000000,\"group"));
      default -> config.replace(":1000000,\"group", ":90000000,\"group");
    };
  }

  private static String probing(String config) {
    return config
        .replace("\"maxDispatches\"", "\"probing\":true,\"maxDispatches\"")
        .replace(
            "{\"balancers\"",
            "{\"report\":{\"how\":\"probe\",\"fields\":[\"rif\",\"q\"]}," + "\"balancers\"");
  }

  /** A second backend that has its door full, or takes who comes. */
  private ServerSocket addBackend(boolean isQueueFull) throws Exception {
    ServerSocket second = door(isQueueFull ? 1 : BACKLOG);
    if (isQueueFull) {
      fill(second);
    }
    news.add(told(2, false, entry("s1", "SERVING", second.getLocalPort())));
    until("a second backend is known", () -> figure("backends_known") == 2);
    return second;
  }

  /** The first attempt has come, and is turned away once there is another backend to go to. */
  private ServerSocket rejectFirstAttempt(boolean isQueueFull) throws Exception {
    heldConnection = take(backendSocket);
    read(heldConnection);
    ServerSocket second = addBackend(isQueueFull);
    answer(heldConnection, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
    return second;
  }

  private static void depart(Socket client, Departure departure) throws IOException {
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

  /**
   * Two hundred clients leave in one burst, fifty stay: the backend gets those of the fifty alone.
   */
  @Test
  void burstOfDisconnects() throws Exception {
    backendSocket = door(1);
    serve(configWithLongTimes(Attempt.FIRST), "");
    fill(backendSocket);
    List<Socket> leavingClients = new ArrayList<>();
    Set<String> idsThatLeave = new HashSet<>();
    Set<String> idsThatStay = new HashSet<>();
    for (int i = 0; i < 250; i++) {
      Socket client = connect();
      String text = request("buy");
      send(client, text);
      if (i % 5 == 0) {
        idsThatStay.add(id(text));
      } else {
        leavingClients.add(client);
        idsThatLeave.add(id(text));
      }
    }
    until("in flight", () -> figure("in_flight") > 0);
    for (Socket client : leavingClients) {
      depart(client, leavingClients.indexOf(client) % 2 == 0 ? Departure.FIN : Departure.RST);
    }
    Thread.sleep(PAUSE_MILLIS);
    play(backendSocket);
    until("one that stayed is sent on", () -> had.stream().anyMatch(idsThatStay::contains));
    Thread.sleep(CONNECT_RETRY_MILLIS);
    assertEquals(Set.of(), had.stream().filter(idsThatLeave::contains).collect(Collectors.toSet()));
  }

  /** More of a body than is read ahead hides the leaving: it is sent on, and never whole. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectBeforeBodyIsComplete(boolean disconnects) throws Exception {
    backendSocket = door(1);
    serve(configWithLongTimes(Attempt.FIRST), "");
    fill(backendSocket);
    Socket client = connect();
    String text =
        request("buy")
            .replace(
                "Content-Length: 2\r\n\r\nhi", "Content-Length: " + HUGE_BODY_BYTES + "\r\n\r\n");
    send(client, text);
    Thread writer = start(() -> client.getOutputStream().write(new byte[HUGE_BODY_BYTES]));
    until("in flight", () -> figure("in_flight") == 1);
    if (disconnects) {
      writer.join(SOON);
      client.close();
    }
    Thread.sleep(PAUSE_MILLIS);
    play(backendSocket);
    if (disconnects) {
      Thread.sleep(CONNECT_RETRY_MILLIS);
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    } else {
      until("it is had whole", () -> had.contains(id(text)));
    }
  }
}
