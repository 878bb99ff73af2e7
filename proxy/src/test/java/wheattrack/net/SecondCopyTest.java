package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.contentLength;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.requestId;
import static wheattrack.net.RawHttp.send;
import static wheattrack.net.RawHttp.sendChunk;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Backends that send a second copy of an answer at the latest moment: when the next request on the
 * connection has arrived, right before its own answer.
 */
class SecondCopyTest extends ProxyTestHarness {
  private static final int REQUESTS = 60;

  /** How many of the requests are at least served, though some are refused or tried again. */
  private static final int MIN_SERVED = 30;

  /** From this request on, slow copies are sent. */
  private static final int FIRST_COPIED_REQUEST = 10;

  /** Within the time for which an answer of unknown length is held back, and beyond it. */
  private static final int ANSWER_PAUSE_MILLIS = 20;

  private static final int COPY_PAUSE_MILLIS = 700;

  private static final int LONG_ANSWER_BYTES = 100_000;

  private static final String REFUSAL =
      "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

  /** By request id: how often a backend has run it. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private final AtomicInteger refusableRequests = new AtomicInteger();

  /** The answer that a backend makes for a request. */
  private static String answerFor(String id) {
    String body = "made for " + id;
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * Serves one connection; each answer but the first follows a copy of the one before.
   *
   * @param refusedShare one request in this many is refused; 0: none is
   */
  private void serveWithCopies(Socket socket, int refusedShare) throws IOException {
    InputStream input = socket.getInputStream();
    String previous = "";
    for (String head = readHead(input); head != null; head = readHead(input)) {
      input.readNBytes(contentLength(head));
      String id = requestId(head);
      boolean isRefused =
          refusedShare > 0 && refusableRequests.incrementAndGet() % refusedShare == 0;
      if (!isRefused) {
        runs.merge(id, 1, Integer::sum);
      }
      send(socket, previous);
      previous = isRefused ? REFUSAL : answerFor(id);
      send(socket, previous);
    }
  }

  private void startProxyWithCopyingBackends(int refusedShare) throws Exception {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int backendPort = listen(socket -> serveWithCopies(socket, refusedShare)).getLocalPort();
      endpoints.add(endpoint("s" + i, "SERVING", backendPort));
    }
    endpointList.send(listLine(1, true, endpoints.toArray(String[]::new)));
    startProxy(MAX_SOCKETS, "{}");
  }

  /**
   * Guards against an answer made for another request, which a client received when a second copy
   * came later than the quarantine of its connection.
   */
  @ParameterizedTest
  @ValueSource(strings = {"buy", "mark", "pay"})
  void eachClientReceivesItsOwnAnswer(String className) throws Exception {
    startProxyWithCopyingBackends(0);
    assertOwnAnswers(className);
  }

  /**
   * Guards against a request that runs twice, or is refused although it runs: the refusal of an
   * earlier request, late or a second time, was taken for its own.
   */
  @ParameterizedTest
  @ValueSource(strings = {"buy", "pay"})
  void refusalsOfEarlierRequestsAreNotTakenForTheNext(String className) throws Exception {
    startProxyWithCopyingBackends(3);
    assertOwnAnswers(className);
  }

  /**
   * Guards against a connection for each rejection where a copy of it would do no harm, and against
   * requests that must not run twice on connections where it would.
   */
  @Test
  void onlyIdempotentRequestsUseAConnectionAfterOneRejection() throws Exception {
    List<String> histories = Collections.synchronizedList(new ArrayList<>());
    int backendPort = listen(socket -> serveRefusingSome(socket, histories)).getLocalPort();
    endpointList.send(listLine(1, true, endpoint("s0", "SERVING", backendPort)));
    startProxy(MAX_SOCKETS, "{}");
    try (Socket client = connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        call(client, request(i % 2 == 0 ? "buy" : "pay"));
      }
    }
    stopProxyAndListeners();
    server = null;
    Thread.sleep(ANSWER_PAUSE_MILLIS);
    String all = String.join("\n", histories);
    assertTrue(all.contains("REFUSED buy"), () -> "no idempotent request after one:\n" + all);
    for (String history : histories) {
      assertTrue(
          !history.matches(".*REFUSED .*pay.*|.*REFUSED .*REFUSED .+"),
          () -> "requests of one connection: " + history);
    }
  }

  /** Refuses one request in three, and adds what the connection has carried when it ends. */
  private void serveRefusingSome(Socket socket, List<String> histories) throws IOException {
    StringBuilder history = new StringBuilder();
    InputStream input = socket.getInputStream();
    try {
      for (String head = readHead(input); head != null; head = readHead(input)) {
        input.readNBytes(contentLength(head));
        history.append(head.contains("/buy") ? "buy " : "pay ");
        if (refusableRequests.incrementAndGet() % 3 == 0) {
          history.append("REFUSED ");
          send(socket, REFUSAL);
        } else {
          send(socket, answerFor(requestId(head)));
        }
      }
    } finally {
      histories.add(history.toString());
    }
  }

  private void assertOwnAnswers(String className) throws IOException {
    int served = 0;
    try (Socket client = connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        String request = request(className);
        String id = requestId(request);
        String answer = call(client, request);
        if (answer.startsWith("200")) {
          assertEquals("200 made for " + id, answer);
          served++;
        }
        if (className.equals("pay")) {
          int maxRuns = answer.startsWith("503") ? 0 : 1;
          int actualRuns = runs.getOrDefault(id, 0);
          assertTrue(
              actualRuns <= maxRuns, id + " was answered " + answer + ", runs: " + actualRuns);
        }
      }
    }
    int servedRequests = served;
    assertTrue(
        servedRequests >= MIN_SERVED,
        () -> "expected at least " + MIN_SERVED + " requests served, got " + servedRequests);
  }

  /**
   * Guards against a part of a copy in chunks that is passed on before it is complete: it begins
   * when the next request has arrived, and ends after the time for which answers are held back.
   */
  @Test
  void slowCopyOfUnknownLengthIsNotPassedOn() throws Exception {
    endpointList.send(
        listLine(
            1,
            true,
            endpoint("s0", "SERVING", listen(this::serveWithSlowCopies).getLocalPort()),
            endpoint("s1", "SERVING", listen(this::serveWithSlowCopies).getLocalPort())));
    startProxy(MAX_SOCKETS, "{}");
    for (int i = 0; i < FIRST_COPIED_REQUEST + 4; i++) {
      String request = request("buy");
      try (Socket client = connect()) {
        send(client, request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        String answer =
            new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        boolean isServed = answer.startsWith("HTTP/1.1 200");
        String own = "made for " + requestId(request) + " ";
        assertTrue(
            !isServed
                || answer.contains(own) && answer.indexOf("made") == answer.lastIndexOf("made"),
            () -> "expected one answer, " + own + ", got " + answer);
      }
    }
  }

  /**
   * Guards against a long answer that its client never receives, as the part of it that comes first
   * equals a complete earlier answer.
   */
  @Test
  void startOfLongAnswerIsNotTakenForACopy() throws Exception {
    endpointList.send(
        listLine(
            1, true, endpoint("s0", "SERVING", listen(this::serveWithLongAnswer).getLocalPort())));
    startProxy(MAX_SOCKETS, "{}");
    try (Socket client = connect()) {
      for (int i = 1; i < FIRST_COPIED_REQUEST; i++) {
        assertTrue(call(client, request("pay")).startsWith("200"));
      }
      String answer = call(client, request("pay"));
      assertEquals(3 + 1 + LONG_ANSWER_BYTES, answer.length(), "status, space and body");
      assertTrue(answer.startsWith("200 made for "));
    }
  }

  /** The tenth answer is long; its first part, which comes alone, equals the one before. */
  private void serveWithLongAnswer(Socket socket) throws Exception {
    InputStream input = socket.getInputStream();
    String previous = "";
    for (String request = readHead(input); request != null; request = readHead(input)) {
      input.readNBytes(contentLength(request));
      if (requestsReceived.incrementAndGet() < FIRST_COPIED_REQUEST) {
        send(socket, answerFor(requestId(request)));
        previous = "made for " + requestId(request);
        continue;
      }
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n";
      send(socket, head + previous);
      Thread.sleep(ANSWER_PAUSE_MILLIS);
      send(socket, "x".repeat(LONG_ANSWER_BYTES - previous.length()));
    }
  }

  private static String chunkedAnswer(String id) {
    return "made for " + id + " " + "x".repeat(100);
  }

  /** From the tenth request on, a copy comes first; answers are held back for half a second. */
  private void serveWithSlowCopies(Socket socket) throws Exception {
    InputStream input = socket.getInputStream();
    String previous = null;
    for (String head = readHead(input); head != null; head = readHead(input)) {
      input.readNBytes(contentLength(head));
      if (requestsReceived.incrementAndGet() >= FIRST_COPIED_REQUEST && previous != null) {
        sendInTwoParts(socket, previous, COPY_PAUSE_MILLIS);
      }
      previous = chunkedAnswer(requestId(head));
      sendInTwoParts(socket, previous, ANSWER_PAUSE_MILLIS);
    }
  }

  private static void sendInTwoParts(Socket socket, String body, int pauseMillis) throws Exception {
    int firstBytes = body.length() - 20;
    send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    sendChunk(socket, body.substring(0, firstBytes));
    Thread.sleep(pauseMillis);
    sendChunk(socket, body.substring(firstBytes));
    send(socket, "0\r\n\r\n");
  }
}
