package wheattrack.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.http.Request;
import wheattrack.net.protocol.ProtocolMapping;

/** Long bodies whose request ends, or whose attempt breaks, at the moment of their last part. */
class RequestBodyTest extends ClientListenerHarness {
  private static final int MAX_CLIENTS = 4;

  /** More than is returned with a request, so that the rest is delivered in parts. */
  private static final int BODY_BYTES = 70_000;

  /** The most bytes of one part. */
  private static final int MAX_PART_BYTES = 16 * 1024;

  private static final int TICKS_PER_MILLISECOND = 10;

  /** Longer than a fast client's allowance for the next bytes of a body. */
  private static final int RETRY_PAUSE_MILLIS = 5200;

  private static final Receiver RECEIVER = new Receiver();

  /** Passes each request to the handler that the test has set. */
  private static final class Receiver implements ClientListener.RequestReceiver {
    private BiConsumer<ClientConnection, Request> handler;

    @Override
    public void onRequest(ClientConnection client, Request request) {
      handler.accept(client, request);
    }

    @Override
    public void onRejected(Request request) {}
  }

  /** The body of one request, as the parts that were delivered for it. */
  private static final class Delivery {
    private final RequestBody body;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    Delivery(ClientConnection client, Request request) {
      body = client.requestBody();
      received.writeBytes(request.body());
    }

    private void add(ByteBuffer part) {
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      received.writeBytes(bytes);
    }

    /** Requests all parts; the task runs after the last one. */
    void receiveAll(Runnable onComplete) {
      body.requestPart(
          (part, isLast) -> {
            add(part);
            if (isLast) {
              onComplete.run();
            } else {
              receiveAll(onComplete);
            }
          });
    }

    /**
     * Requests all parts that have arrived; the task runs in the step in which the last one is
     * decoded, before it is delivered.
     */
    void receiveUpToLastPart(Runnable onLastDecoded) {
      boolean isLastNext = BODY_BYTES - received.size() <= MAX_PART_BYTES;
      body.requestPart(
          (part, isLast) -> {
            add(part);
            receiveUpToLastPart(onLastDecoded);
          });
      if (isLastNext) {
        onLastDecoded.run();
      }
    }

    /** The letters of the body, each once. */
    String letters() {
      return received
          .toString(StandardCharsets.US_ASCII)
          .chars()
          .distinct()
          .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
          .toString();
    }
  }

  RequestBodyTest() {
    super(MAX_CLIENTS, RECEIVER);
  }

  private static String longRequest(String letter, boolean isChunked) {
    String body = letter.repeat(BODY_BYTES);
    String head = "POST /x HTTP/1.1\r\n";
    return isChunked
        ? head
            + "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(BODY_BYTES)
            + "\r\n"
            + body
            + "\r\n0\r\n\r\n"
        : head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body;
  }

  /** The status and the body of a response, or "closed" if there is none. */
  private static String readResponse(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        return "closed";
      }
      head.append((char) next);
    }
    int length =
        Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
    String body = new String(input.readNBytes(length), StandardCharsets.US_ASCII);
    return head.substring(9, 12) + " " + body.strip();
  }

  private static void respond(ClientConnection client, int status, String text) {
    client.sendResponse(ProtocolMapping.textResponse(status, text, true));
  }

  private void respondWithLetters(ClientConnection client, Request request) {
    Delivery delivery = new Delivery(client, request);
    delivery.receiveAll(() -> respond(client, 200, delivery.received.size() + delivery.letters()));
  }

  /**
   * Guards against a request that reaches its backend with the tail of an earlier one's body: the
   * backend resets the connection in the step in which that body's last part is decoded.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lastPartOfARejectedBodyIsNotDeliveredToTheNextRequest(boolean isChunked) throws Exception {
    RECEIVER.handler =
        (client, request) -> {
          RECEIVER.handler = this::respondWithLetters;
          Delivery delivery = new Delivery(client, request);
          Runnable reject =
              () -> {
                delivery.body.cancelRequest();
                respond(client, 503, "rejected");
              };
          loop.schedule(
              ARRIVAL_MILLIS * TICKS_PER_MILLISECOND, () -> delivery.receiveUpToLastPart(reject));
        };
    Socket client = connect();
    send(client, longRequest("a", isChunked));
    assertEquals("503 rejected", readResponse(client));
    send(client, longRequest("b", isChunked));
    assertEquals("200 " + BODY_BYTES + "b", readResponse(client));
  }

  /**
   * Guards against a request that is closed unanswered as its body is late, though the body is
   * complete: an attempt breaks as above, and the next one waits.
   */
  @Test
  void completeBodyHasNoTimeoutWhileARetryWaits() throws Exception {
    RECEIVER.handler =
        (client, request) -> {
          Delivery delivery = new Delivery(client, request);
          Runnable retry =
              () -> {
                delivery.body.cancelRequest();
                loop.schedule(
                    RETRY_PAUSE_MILLIS * TICKS_PER_MILLISECOND,
                    () -> delivery.receiveAll(() -> respond(client, 200, delivery.letters())));
              };
          loop.schedule(
              ARRIVAL_MILLIS * TICKS_PER_MILLISECOND, () -> delivery.receiveUpToLastPart(retry));
        };
    Socket client = connect();
    client.setSoTimeout(RETRY_PAUSE_MILLIS + TIMEOUT_MILLIS);
    send(client, longRequest("a", true));
    assertEquals("200 a", readResponse(client));
  }

  /** Guards against a relay of an ended request that takes parts of the next one's body. */
  @Test
  void endedBodyDeliversNothing() throws Exception {
    Delivery[] first = new Delivery[1];
    RECEIVER.handler =
        (client, request) -> {
          RECEIVER.handler =
              (sameClient, nextRequest) -> {
                first[0].receiveAll(() -> {});
                respondWithLetters(sameClient, nextRequest);
              };
          first[0] = new Delivery(client, request);
          first[0].receiveAll(() -> respond(client, 200, "first"));
        };
    Socket client = connect();
    send(client, longRequest("a", true));
    assertEquals("200 first", readResponse(client));
    send(client, longRequest("b", true));
    assertEquals("200 " + BODY_BYTES + "b", readResponse(client));
    assertEquals("a", first[0].letters());
  }
}
