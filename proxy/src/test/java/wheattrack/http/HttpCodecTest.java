package wheattrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/** Decoding of messages from bytes that arrive one at a time, and encoding. */
class HttpCodecTest {
  private static String abbreviate(String text) {
    String plain = text.replace("\r\n", "|").replace("\n", "!");
    return plain.length() > 80 ? plain.substring(0, 70) + "... (" + plain.length() + ")" : plain;
  }

  /** How far a long body was streamed: the index after it, and what was read of it. */
  private record StreamedBody(int end, String summary) {}

  private static StreamedBody readStreamedBody(Decoder<?> decoder, String text, int start)
      throws MalformedMessageException {
    int size = 0;
    int index = start;
    while (decoder.isStreamingBody() && index < text.length()) {
      decoder.writableBuffer().put((byte) text.charAt(index++));
      size += decoder.nextBodyPart().remaining();
    }
    return new StreamedBody(index, size + (decoder.isStreamingBody() ? " not whole" : " whole"));
  }

  /**
   * A message is decoded to the same body wherever it is cut into two packets, and twice in a row.
   */
  @Test
  void decodesSameMessageForEverySplit() throws Exception {
    String body = "0123456789abcdef".repeat(70);
    String head = "POST /buy HTTP/1.1\r\nHost: a\r\n";
    String measured = head + "Content-Length: 1120\r\n\r\n" + body;
    String chunked =
        head
            + "Transfer-Encoding: chunked\r\n\r\n460;a=\"b\"\r\n"
            + body
            + "\r\n0\r\nT: 1\r\nU: 2\r\n\r\n";
    for (String text : List.of(measured, chunked)) {
      for (int cut = 0; cut <= text.length(); cut++) {
        decodeTwice(text, cut, body);
      }
    }
  }

  private static void decodeTwice(String text, int cut, String expectedBody)
      throws MalformedMessageException {
    RequestDecoder decoder = new RequestDecoder();
    Request last = null;
    String both = text + text;
    int start = 0;
    while (start < both.length()) {
      int packetEnd = start < cut ? cut : both.length();
      int count = Math.min(decoder.writableBuffer().remaining(), packetEnd - start);
      byte[] bytes = both.substring(start, start + count).getBytes(StandardCharsets.ISO_8859_1);
      decoder.writableBuffer().put(bytes);
      start += count;
      for (Request next = decoder.next(); next != null; next = decoder.next()) {
        last = next;
        assertEquals(expectedBody, new String(next.body(), StandardCharsets.ISO_8859_1));
      }
    }
    assertTrue(
        last != null && last.remainingBody().isEmpty() && !decoder.isMidMessage(), "cut at " + cut);
  }

  /** Of a long message the head comes with a first part, then the rest, then the next message. */
  @Test
  void streamsLongBodies() throws Exception {
    TraceRecorder recorder = new TraceRecorder();
    String post = "POST /buy HTTP/1.1\r\n";
    String ok = "HTTP/1.1 200 OK\r\n";
    String next = "GET /n HTTP/1.1\r\n\r\n";
    String chunk = "8000;e=" + "x".repeat(50) + "\r\n" + "z".repeat(32_768) + "\r\n";
    for (String text :
        List.of(
            post + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000) + next,
            post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3) + "0\r\n\r\n" + next,
            post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(2) + "xyz",
            post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(5))) {
      recordLongMessage(recorder, new RequestDecoder(150_000), text);
    }
    for (String text :
        List.of(
            ok + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000),
            ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3) + "0\r\n\r\n",
            ok + "Content-Length: 3000000000\r\n\r\n",
            ok + "\r\n" + "z".repeat(70_000))) {
      recordLongMessage(recorder, new ResponseDecoder(150_000), text);
    }
    ResponseDecoder decoder = new ResponseDecoder();
    decoder.expectNoBody(true);
    recordMessages(recorder, decoder, ok + "Content-Length: 5\r\n\r\n");
    recorder.matches("http-long");
  }

  private static void recordLongMessage(TraceRecorder recorder, Decoder<?> decoder, String text) {
    recorder.say(abbreviate(text));
    try {
      int index = 0;
      while (index < text.length()) {
        decoder.writableBuffer().put((byte) text.charAt(index++));
        Object message = decoder.next();
        if (message == null) {
          continue;
        }
        recorder.say(
            "  "
                + print(message).replaceAll("body=.*\\(", "body of (")
                + ", more "
                + remainingBody(message));
        if (decoder.isStreamingBody()) {
          StreamedBody streamed = readStreamedBody(decoder, text, index);
          index = streamed.end();
          recorder.say("  and " + streamed.summary());
        }
      }
      if (decoder.endOfStream()) {
        recorder.say(
            "  till the end: "
                + decoder.nextBodyPart().remaining()
                + (decoder.isStreamingBody() ? " and on" : " whole"));
      }
    } catch (MalformedMessageException e) {
      recorder.say("  bad, " + e.status() + ": " + e.getMessage());
    }
  }

  /** The part of a body that follows, as traces name it: the bytes, or a code of the framing. */
  private static long remainingBody(Object message) {
    BodyFraming framing =
        message instanceof Request request
            ? request.remainingBody()
            : ((Response) message).remainingBody();
    return switch (framing.kind()) {
      case FIXED_LENGTH -> framing.length();
      case CHUNKED -> -1;
      case UNTIL_CLOSE -> -2;
      case NONE -> -3;
    };
  }

  private static String print(Object message) {
    if (message instanceof Request request) {
      return request.method()
          + " "
          + request.target()
          + print(request.headers(), request.keepAlive(), request.body());
    }
    Response response = (Response) message;
    return response.status() + print(response.headers(), response.keepAlive(), response.body());
  }

  private static String print(Headers headers, boolean keepAlive, byte[] body) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < headers.size(); i++) {
      text.append(' ').append(headers.name(i)).append('=').append(headers.value(i));
    }
    text.append(keepAlive ? " keep" : " close");
    text.append(" body=").append(abbreviate(new String(body, StandardCharsets.ISO_8859_1)));
    return text.toString();
  }

  private static void recordMessages(TraceRecorder recorder, Decoder<?> decoder, String text) {
    recorder.say(abbreviate(text));
    for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
      decoder.writableBuffer().put(b);
      try {
        Object message = decoder.next();
        if (message != null) {
          recorder.say("  " + print(message));
        }
      } catch (MalformedMessageException e) {
        recorder.say("  bad, " + e.status() + ": " + e.getMessage());
        return;
      }
    }
    if (decoder.isMidMessage()) {
      recorder.say("  not whole");
    }
  }

  @Test
  void decodesRequests() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    String post = "POST /buy HTTP/1.1\r\nHost: a\r\n";
    for (String text :
        new String[] {
          "GET /buy?x=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: 7\r\n\r\n",
          "\r\nGET / HTTP/1.0\r\n\r\nGET /2 HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
          post + "Connection: x, Close\r\nContent-Length: 3\r\n\r\nabc",
          post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nab",
          post
              + "transfer-encoding: chunked\r\n\r\n"
              + "3;x=y\r\n"
              + "abc\r\n"
              + "0a\r\n"
              + "0123456789\r\n"
              + "0\r\n"
              + "T: 1\r\n\r\n",
          post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
          post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
          post + "Content-Length: -3\r\n\r\n",
          post + "Content-Length: 65537\r\n\r\n",
          post + "Transfer-Encoding: gzip\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\nxyz",
          post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc",
          post + "Transfer-Encoding: chunked\r\n\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\n1ffff\r\n" + "z".repeat(70_000),
          post + "A : 1\r\n\r\n",
          post + "A: 1\r\n folded\r\n\r\n",
          post + "A: 1\u0001\r\n\r\n",
          post + "A\r\n\r\n",
          post + "A: 1\r\n".repeat(101) + "\r\n",
          post + "A: " + "1".repeat(20_000),
          "GET http://a/ HTTP/1.1\r\n\r\n",
          "GET  /a HTTP/1.1\r\n\r\n",
          "GET /a HTTP/2.0\r\n\r\n",
          "BREW /a HTTP/1.1\r\n\r\n",
          "\u0016\u0003\u0001\n\n",
          "GET /a\r\n\r\n"
        }) {
      recordMessages(recorder, new RequestDecoder(), text);
    }
    recorder.matches("http-requests");
  }

  @Test
  void decodesResponses() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    String ok = "HTTP/1.1 200 OK\r\n";
    for (String text :
        new String[] {
          ok + "Content-Length: 2\r\n\r\nhi" + ok + "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n"
              + ok
              + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          ok + "Content-Length: 5\r\n\r\nhi",
          ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi",
          "HTTP/1.1 204 No Content\r\n\r\n",
          ok + "\r\nno length, till the end",
          "HTTP/1.1 2000 OK\r\n\r\n",
          "SSH-2.0-x\r\n\r\n",
          ok + "Content-Length: 99999\r\n\r\n"
        }) {
      recordMessages(recorder, new ResponseDecoder(), text);
    }
    recorder.matches("http-answers");
  }

  @Test
  void decodesLines() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    String plain = "HTTP/1.1 200 OK\r\n\r\n";
    for (String text :
        new String[] {
          head + "4\r\n{\"a\"\r\n6\r\n:1}\n\n{\r\n2\r\n}\n\r\n1\r\n\n\r\n",
          plain + "{}\n\n",
          plain + "{\r\n  \"a\": [\n    {\"b\": \"}\\\"{\"}\n  ]\n}\n\n{}\n",
          plain + "no object\n[]\n{\"cut off\n{}\n",
          "HTTP/1.1 503 No\r\n\r\n",
          head + "q"
        }) {
      LineDecoder decoder = new LineDecoder();
      recorder.say(abbreviate(text));
      try {
        for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
          decoder.writableBuffer().put(b);
          for (String line = decoder.next(); line != null; line = decoder.next()) {
            recorder.say("  [" + line + "]");
          }
        }
      } catch (MalformedMessageException e) {
        recorder.say("  bad: " + e.getMessage());
      }
    }
    recorder.matches("http-lines");
  }

  @Test
  void encodesMessages() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    byte[] body = "hi".getBytes(StandardCharsets.ISO_8859_1);
    Headers headers = new Headers().with("A", "1");
    for (ByteBuffer bytes :
        new ByteBuffer[] {
          Encoder.request(new Request("GET", "/a", headers, true, new byte[0])),
          Encoder.request(new Request("POST", "/a", headers, true, new byte[0])),
          Encoder.request(new Request("PUT", "/a?b", new Headers(), false, body)),
          Encoder.response(new Response(200, headers, true, body)),
          Encoder.response(new Response(503, new Headers(), false, new byte[0])),
          Encoder.continueResponse()
        }) {
      recorder.say(StandardCharsets.ISO_8859_1.decode(bytes).toString().replace("\r\n", "|"));
    }
    recorder.matches("http-encoded");
  }
}
