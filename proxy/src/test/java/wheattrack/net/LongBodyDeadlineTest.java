package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.contentLength;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The deadline of requests with long bodies, which begins with the arrival of the last byte. */
class LongBodyDeadlineTest extends OneBackendHarness {
  /** The client timeout of the configuration's classes, and half a second after it. */
  private static final int LATEST_ANSWER_MILLIS = 1500 + 500;

  /** Bytes that a client writes at once. */
  private static final int PIECE_BYTES = 16 * 1024;

  /** A client that cannot write for this long has filled all buffers on the way. */
  private static final int BUFFERS_FULL_MILLIS = 300;

  /** The part of the buffers that a body fills, so that all of it can be written at once. */
  private static final double FILLED_PART_OF_BUFFERS = 0.75;

  /** The pause of a slow backend after each of its reads. */
  private static final int SLOW_READ_PAUSE_MILLIS = 20;

  private static final int SLOW_READ_BYTES = 4 * 1024;

  /** The pause of a slow client between pieces; all its pieces take longer than its timeout. */
  private static final int SLOW_WRITE_PAUSE_MILLIS = 150;

  private static final int SLOW_PIECES = 20;

  /** What the backend does while the body waits. */
  private enum Backend {
    ACCEPTS_NO_CONNECTION,
    READS_NOTHING,
    READS_SLOWLY
  }

  private static String chunkedHead() {
    return request("pay")
        .replace("Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n");
  }

  private static String headWithLength(long length) {
    return request("pay")
        .replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + length + "\r\n\r\n");
  }

  /**
   * Guards against a late answer: the last byte of a long body has arrived, but is not read, as the
   * backend does not accept the bytes before it. The request has its answer within its timeout.
   */
  @ParameterizedTest
  @EnumSource(Backend.class)
  void unreadEndOfBodyDoesNotDelayTheAnswer(Backend backend) throws Exception {
    start(backend);
    int length = (int) (FILLED_PART_OF_BUFFERS * bytesThatBuffersHold());
    try (Socket client = connect()) {
      send(client, headWithLength(length));
      long startedAt = System.nanoTime();
      client.getOutputStream().write(new byte[length]);
      long writtenAt = System.nanoTime();
      assertTrue(
          millis(startedAt, writtenAt) < BUFFERS_FULL_MILLIS, "the body did not fit the buffers");
      String answer = readAnswer(client);
      long took = millis(writtenAt, System.nanoTime());
      assertTrue(answer.startsWith("50"), "expected a status from 500 to 509, got " + answer);
      assertTrue(
          took < LATEST_ANSWER_MILLIS,
          () -> "expected " + answer + " within the timeout, came after " + took + " ms");
    }
    assertEquals(0, metric("attempts"));
  }

  private void start(Backend backend) throws Exception {
    if (backend == Backend.ACCEPTS_NO_CONNECTION) {
      startProxyWithFullAcceptQueue();
      return;
    }
    startProxyWithOneBackend();
    startThread(
        () -> {
          while (true) {
            Socket socket = accept(firstListener);
            startThread(() -> readSlowly(socket, backend));
          }
        });
  }

  private static void readSlowly(Socket socket, Backend backend) throws Exception {
    while (backend == Backend.READS_NOTHING
        || socket.getInputStream().readNBytes(SLOW_READ_BYTES).length > 0) {
      Thread.sleep(SLOW_READ_PAUSE_MILLIS);
    }
  }

  /** Sends a body without end, and returns how many of its bytes could be written. */
  private int bytesThatBuffersHold() throws Exception {
    try (SocketChannel client = SocketChannel.open(new InetSocketAddress("127.0.0.1", port))) {
      client.write(ByteBuffer.wrap(headWithLength(1 << 24).getBytes(StandardCharsets.US_ASCII)));
      client.configureBlocking(false);
      int count = 0;
      long progressAt = System.nanoTime();
      while (millis(progressAt, System.nanoTime()) < BUFFERS_FULL_MILLIS) {
        int written = client.write(ByteBuffer.allocate(PIECE_BYTES));
        count += written;
        if (written >= PIECE_BYTES / 2) {
          progressAt = System.nanoTime();
        } else {
          Thread.sleep(1);
        }
      }
      return count;
    }
  }

  private static long millis(long fromNanos, long toNanos) {
    return (toNanos - fromNanos) / 1_000_000;
  }

  /**
   * Guards against a deadline that runs too early: a client takes longer than its timeout to send
   * its body. The pieces end at any place, also within the framing of chunks.
   */
  @ParameterizedTest
  @ValueSource(strings = {"known length", "whole chunks", "within chunk sizes"})
  void slowBodyIsServed(String framing) throws Exception {
    startProxyWithOneBackend();
    startThread(() -> answerAfterBody(accept(firstListener)));
    try (Socket client = connect()) {
      String data = "x".repeat(PIECE_BYTES);
      boolean hasKnownLength = framing.equals("known length");
      send(client, hasKnownLength ? headWithLength(PIECE_BYTES * SLOW_PIECES) : chunkedHead());
      for (int i = 0; i < SLOW_PIECES; i++) {
        send(
            client,
            switch (framing) {
              case "known length" -> data;
              case "whole chunks" -> "4000\r\n" + data + "\r\n";
              default -> (i == 0 ? "4000" : "00") + "\r\n" + data + "\r\n40";
            });
        Thread.sleep(SLOW_WRITE_PAUSE_MILLIS);
      }
      if (!hasKnownLength) {
        send(
            client,
            framing.equals("whole chunks")
                ? "0\r\n\r\n"
                : "\r\n" + "x".repeat(64) + "\r\n0\r\n\r\n");
      }
      assertEquals("200 complete", readAnswer(client));
    }
  }

  private static void answerAfterBody(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    String head = readHead(input);
    if (head.contains("chunked")) {
      StringBuilder end = new StringBuilder();
      while (!end.toString().endsWith("\r\n0\r\n\r\n")) {
        end.append((char) input.read());
        end.delete(0, Math.max(0, end.length() - 8));
      }
    } else {
      input.readNBytes(contentLength(head));
    }
    writeAnswer(socket, "200", "", "complete");
  }

  /**
   * Guards against a request without a deadline: the process shuts down while the last byte of a
   * long body is not read.
   */
  @Test
  void unreadEndOfBodyIsAnsweredBeforeShutdownEnds() throws Exception {
    start(Backend.READS_NOTHING);
    int length = (int) (FILLED_PART_OF_BUFFERS * bytesThatBuffersHold());
    try (Socket client = connect()) {
      send(client, headWithLength(length));
      client.getOutputStream().write(new byte[length]);
      startThread(server::shutdown);
      String answer = readAnswer(client);
      assertTrue(answer.startsWith("50"), "expected a status from 500 to 509, got " + answer);
    }
  }
}
