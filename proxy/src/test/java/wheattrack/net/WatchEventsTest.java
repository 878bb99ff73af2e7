package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches of the endpoint list that arrive in pieces, fall silent or end. */
class WatchEventsTest extends OneBackendHarness {
  /** A list may be indented, and cut into packets at any byte. */
  @Test
  void indentedListIsRead() throws Exception {
    firstListener = listenWithoutAccepting(BACKLOG);
    answerAll(firstListener);
    String listLine =
        listLine(1, true, endpoint("s0", "SERVING", firstListener.getLocalPort()))
                .replace(",", ",\n  ")
                .replace("{", "{\r\n  ")
            + "\n";
    ServerSocket list =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              send(socket, "HTTP/1.1 200 OK\r\n\r\n");
              for (String character : listLine.split("")) {
                send(socket, character);
              }
            });
    startProxy(config(list.getLocalPort()), "");
    assertEquals("200 played", call(request("buy")));
  }

  /** Watches are silent, or send half a line byte by byte: each is replaced in time. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentWatchIsReplacedInTime(boolean isDripping) throws Exception {
    List<Long> requestedAt = Collections.synchronizedList(new ArrayList<>());
    String first = listLine(1, true, startBackend("s0")) + "\n";
    ServerSocket list =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              requestedAt.add(System.nanoTime());
              int turn = requestedAt.size();
              send(socket, "HTTP/1.1 200 OK\r\n\r\n" + (turn == 1 ? first : ""));
              for (int i = 0; turn < 4 && isDripping; i++) {
                send(socket, i == 0 ? "{" : " ");
                Thread.sleep(200);
              }
            });
    config = config(list.getLocalPort()).replace("\"askEvery\":1", "\"askEvery\":99");
    startProxy(config, "");
    long startedAt = System.nanoTime();
    while (requestedAt.size() < 4) {
      Thread.sleep(5);
      assertTrue(
          System.nanoTime() - startedAt < 15e9, "requested " + requestedAt.size() + " times");
    }
    // a change missed by the first has to be known 6 s later; no further pause is added
    assertTrue(
        requestedAt.get(2) - requestedAt.get(0) < 6e9,
        "third after " + (requestedAt.get(2) - requestedAt.get(0)));
    assertTrue(
        requestedAt.get(3) - requestedAt.get(2) < 3.4e9,
        "fourth after " + (requestedAt.get(3) - requestedAt.get(2)));
  }

  /** A watch ends while its connection stays open: it once counted as silent for 3 s. */
  @Test
  void endedWatchIsReplacedAtOnce() throws Exception {
    CountDownLatch watchesRequested = new CountDownLatch(2);
    String first = listLine(1, true, startBackend("s0")) + "\n";
    ServerSocket list =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              watchesRequested.countDown();
              send(
                  socket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(first.length())
                      + "\r\n"
                      + first
                      + "\r\n0\r\n\r\n");
              socket.getInputStream().read();
            });
    startProxy(config(list.getLocalPort()), "");
    assertTrue(watchesRequested.await(2, TimeUnit.SECONDS));
  }
}
