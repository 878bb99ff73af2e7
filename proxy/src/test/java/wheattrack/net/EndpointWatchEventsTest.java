package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches of the endpoint list that are cut into pieces, fall silent or end. */
class EndpointWatchEventsTest extends RawConnection {
  /** An endpoint list may be indented, and come in pieces of any size. */
  @Test
  void indentedEndpointList() throws Exception {
    ServerSocket backend = door(BACKLOG);
    play(backend);
    String news =
        told(1, true, entry("s0", "SERVING", backend.getLocalPort()))
                .replace(",", ",\n  ")
                .replace("{", "{\r\n  ")
            + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              send(socket, "HTTP/1.1 200 OK\r\n\r\n");
              for (String one : news.split("")) {
                send(socket, one);
              }
            });
    serve(config(list.getLocalPort(), 1024, "{}"), "");
    assertEquals("200 played", call(request("buy")));
  }

  /**
   * Watches that are silent, or send a part of a line slowly, one after another: the next one is
   * opened in time.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentWatches(boolean drips) throws Exception {
    List<Long> asked = Collections.synchronizedList(new ArrayList<>());
    String first = told(1, true, ready("s0")) + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              asked.add(System.nanoTime());
              int turn = asked.size();
              send(socket, "HTTP/1.1 200 OK\r\n\r\n" + (turn == 1 ? first : ""));
              for (int i = 0; turn < 4 && drips; i++) {
                send(socket, i == 0 ? "{" : " ");
                Thread.sleep(200);
              }
            });
    String config =
        config(list.getLocalPort(), 1024, "{}").replace("\"askEvery\":1", "\"askEvery\":99");
    serve(config, "");
    long from = System.nanoTime();
    while (asked.size() < 4) {
      Thread.sleep(5);
      assertTrue(System.nanoTime() - from < 15e9, "asked " + asked.size() + " times");
    }
    // What the first watch missed is notified within 6 s; no pause is added between two watches.
    assertTrue(asked.get(2) - asked.get(0) < 6e9, "third after " + (asked.get(2) - asked.get(0)));
    assertTrue(
        asked.get(3) - asked.get(2) < 3.4e9, "fourth after " + (asked.get(3) - asked.get(2)));
  }

  /** A watch whose response ends while its connection stays: it was taken for silent for 3 s. */
  @Test
  void watchResponseEnds() throws Exception {
    CountDownLatch again = new CountDownLatch(2);
    String first = told(1, true, ready("s0")) + "\n";
    ServerSocket list =
        open(
            socket -> {
              head(socket.getInputStream());
              again.countDown();
              send(
                  socket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(first.length())
                      + "\r\n"
                      + first
                      + "\r\n0\r\n\r\n");
              socket.getInputStream().read();
            });
    serve(config(list.getLocalPort(), 1024, "{}"), "");
    assertTrue(again.await(2, TimeUnit.SECONDS));
  }
}
