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

/** Watches of the endpoint list that arrive in pieces, become silent or end. */
class WatchEventsTest extends OneBackendHarness {
  /** A list may be indented, and be split into packets at any byte. */
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

  /** A watch that sends nothing, or half a line byte by byte, is replaced in time. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentWatchIsReplacedInTime(boolean isDripping) throws Exception {
    List<Long> requestedAt = Collections.synchronizedList(new ArrayList<>());
    String firstLine = listLine(1, true, startBackend("s0")) + "\n";
    ServerSocket list =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              requestedAt.add(System.nanoTime());
              int watchNumber = requestedAt.size();
              send(socket, "HTTP/1.1 200 OK\r\n\r\n" + (watchNumber == 1 ? firstLine : ""));
              for (int i = 0; watchNumber < 4 && isDripping; i++) {
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
          System.nanoTime() - startedAt < 15e9, "expected 4 watches, got " + requestedAt.size());
    }
    // a change that the first watch missed has to be known within 6 s, without a further wait
    assertTrue(
        requestedAt.get(2) - requestedAt.get(0) < 6e9,
        "third watch " + (requestedAt.get(2) - requestedAt.get(0)) + " ns after the first");
    assertTrue(
        requestedAt.get(3) - requestedAt.get(2) < 3.4e9,
        "fourth watch " + (requestedAt.get(3) - requestedAt.get(2)) + " ns after the third");
  }

  /**
   * Guards against a wait of 3 s: a watch whose body has ended, but whose connection stays open,
   * must not count as silent.
   */
  @Test
  void endedWatchIsReplacedImmediately() throws Exception {
    CountDownLatch watchesRequested = new CountDownLatch(2);
    String firstLine = listLine(1, true, startBackend("s0")) + "\n";
    ServerSocket list =
        listen(
            socket -> {
              readHead(socket.getInputStream());
              watchesRequested.countDown();
              send(
                  socket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(firstLine.length())
                      + "\r\n"
                      + firstLine
                      + "\r\n0\r\n\r\n");
              socket.getInputStream().read();
            });
    startProxy(config(list.getLocalPort()), "");
    assertTrue(
        watchesRequested.await(2, TimeUnit.SECONDS),
        "expected a second watch within 2 s, got none");
  }
}
