package wheattrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.testing.TraceRecorder;

/** Decodes messages from bytes that arrive one at a time, and encodes messages. */
class HttpCodecTest {
  private static final String POST_LINE = "POST /buy HTTP/1.1\r\n";
  private static final String POST_WITH_HOST = POST_LINE + "Host: a\r\n";
  private static final String OK_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final byte[] NO_BYTES = {};

  /** The limit on bodies, in bytes, in the tests of long bodies. */
  private static final long MAX_BODY = 150_000;

  private final TraceRecorder recorder = new TraceRecorder();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** The text on one line; a long text is cut off and followed by its full length. */
  private static String abbreviate(String text) {
    String plain = text.replace("\r\n", "|").replace("\n", "!");
    return plain.length() > 80 ? plain.substring(0, 70) + "... (" + plain.length() + ")" : plain;
  }

  /**
   * The result of streaming a long body.
   *
   * @param end the index after its last character in the text
   * @param summary the number of bytes, and whether the body is complete
   */
  private record StreamedBody(int end, String summary) {}

  private static StreamedBody streamBody(Decoder<?> decoder, String text, int start)
      throws MalformedMessageException {
    int size = 0;
    int index = start;
    while (decoder.isStreamingBody() && index < text.length()) {
      decoder.writableBuffer().put((byte) text.charAt(index++));
      size += decoder.nextBodyPart().remaining();
    }
    return new StreamedBody(index, size + (decoder.isStreamingBody() ? " not whole" : " whole"));
  }

  /** Two equal messages in a row have the same body wherever they are split into two packets. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 1120\r\n\r\n%s",
        CHUNKED + "460;a=\"b\"\r\n%s\r\n0\r\nT: 1\r\nU: 2\r\n\r\n"
      })
  void decodesSameBodyForEverySplit(String framedBody) throws Exception {
    String body = "0123456789abcdef".repeat(70);
    String message = POST_WITH_HOST + framedBody.formatted(body);
    for (int cut = 0; cut <= message.length(); cut++) {
      decodeTwice(message, cut, body);
    }
  }

  private static void decodeTwice(String message, int cut, String expectedBody)
      throws MalformedMessageException {
    RequestDecoder decoder = new RequestDecoder();
    Request last = null;
    String both = message + message;
    int start = 0;
    while (start < both.length()) {
      int packetEnd = start < cut ? cut : both.length();
      int count = Math.min(decoder.writableBuffer().remaining(), packetEnd - start);
      decoder.writableBuffer().put(bytes(both.substring(start, start + count)));
      start += count;
      for (Request next = decoder.next(); next != null; next = decoder.next()) {
        last = next;
        assertEquals(expectedBody, text(next.body()), "body, with the cut at " + cut);
      }
    }
    assertTrue(
        last != null && last.remainingBody().isEmpty() && !decoder.isMidMessage(),
        "expected two complete messages with the cut at " + cut);
  }

  /**
   * A long message is returned with the first part of its body; the rest is streamed, after which
   * the next message is decoded.
   */
  @Test
  void streamsLongBodies() throws IOException {
    String next = "GET /n HTTP/1.1\r\n\r\n";
    String chunk = "8000;e=" + "x".repeat(50) + "\r\n" + "z".repeat(32_768) + "\r\n";
    for (String text :
        List.of(
            POST_LINE + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000) + next,
            POST_LINE + CHUNKED + chunk.repeat(3) + "0\r\n\r\n" + next,
            POST_LINE + CHUNKED + chunk.repeat(2) + "xyz",
            POST_LINE + CHUNKED + chunk.repeat(5))) {
      recordLongMessage(new RequestDecoder(MAX_BODY), text);
    }
    for (String text :
        List.of(
            OK_LINE + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000),
            OK_LINE + CHUNKED + chunk.repeat(3) + "0\r\n\r\n",
            OK_LINE + "Content-Length: 3000000000\r\n\r\n",
            OK_LINE + "\r\n" + "z".repeat(70_000))) {
      recordLongMessage(new ResponseDecoder(MAX_BODY), text);
    }
    ResponseDecoder decoder = new ResponseDecoder();
    decoder.expectNoBody(true);
    recordMessages(decoder, OK_LINE + "Content-Length: 5\r\n\r\n");
    recorder.assertMatches("http-long");
  }

  @Test
  void decodesResponseToHeadWithoutBody() throws MalformedMessageException {
    ResponseDecoder decoder = new ResponseDecoder();
    decoder.expectNoBody(true);
    decoder.writableBuffer().put(bytes(OK_LINE + "Content-Length: 5\r\n\r\n"));
    Response response = decoder.next();
    assertEquals(BodyFraming.NONE, response.remainingBody());
    assertEquals("5", response.headers().first("Content-Length"));
    assertFalse(decoder.isMidMessage());
  }

  private void recordLongMessage(Decoder<?> decoder, String text) {
    recorder.recordLine(abbreviate(text));
    try {
      decodeLongMessages(decoder, text);
      if (decoder.endOfStream()) {
        recordLastBodyPart(decoder);
      }
    } catch (MalformedMessageException e) {
      recordRejection(e);
    }
  }

  private void decodeLongMessages(Decoder<?> decoder, String text)
      throws MalformedMessageException {
    int index = 0;
    while (index < text.length()) {
      decoder.writableBuffer().put((byte) text.charAt(index++));
      Object message = decoder.next();
      if (message == null) {
        continue;
      }
      String description = describe(message).replaceAll("body=.*\\(", "body of (");
      recorder.recordLine("  " + description + ", more " + remainingBody(message));
      if (decoder.isStreamingBody()) {
        StreamedBody streamed = streamBody(decoder, text, index);
        index = streamed.end();
        recorder.recordLine("  and " + streamed.summary());
      }
    }
  }

  private void recordLastBodyPart(Decoder<?> decoder) throws MalformedMessageException {
    int size = decoder.nextBodyPart().remaining();
    String completeness = decoder.isStreamingBody() ? " and on" : " whole";
    recorder.recordLine("  till the end: " + size + completeness);
  }

  private void recordRejection(MalformedMessageException e) {
    recorder.recordLine("  bad, " + e.status() + ": " + e.getMessage());
  }

  /** The rest of a body as shown in the expected traces: its length, or a code for its framing. */
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

  private static String describe(Object message) {
    if (message instanceof Request request) {
      return request.method()
          + " "
          + request.target()
          + describe(request.headers(), request.keepAlive(), request.body());
    }
    Response response = (Response) message;
    return response.status() + describe(response.headers(), response.keepAlive(), response.body());
  }

  private static String describe(Headers headers, boolean keepAlive, byte[] body) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < headers.size(); i++) {
      text.append(' ').append(headers.name(i)).append('=').append(headers.value(i));
    }
    text.append(keepAlive ? " keep" : " close");
    text.append(" body=").append(abbreviate(text(body)));
    return text.toString();
  }

  private void recordMessages(Decoder<?> decoder, String text) {
    recorder.recordLine(abbreviate(text));
    for (byte b : bytes(text)) {
      decoder.writableBuffer().put(b);
      try {
        Object message = decoder.next();
        if (message != null) {
          recorder.recordLine("  " + describe(message));
        }
      } catch (MalformedMessageException e) {
        recordRejection(e);
        return;
      }
    }
    if (decoder.isMidMessage()) {
      recorder.recordLine("  not whole");
    }
  }

  /** Records how each text is decoded by a new decoder, and compares that with a trace. */
  private void assertDecodedAsInTrace(
      String traceName, Supplier<Decoder<?>> newDecoder, List<String> texts) throws IOException {
    for (String text : texts) {
      recordMessages(newDecoder.get(), text);
    }
    recorder.assertMatches(traceName);
  }

  @Test
  void decodesValidRequestsAndRejectsOthers() throws IOException {
    assertDecodedAsInTrace(
        "http-requests",
        RequestDecoder::new,
        List.of(
            "GET /buy?x=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: 7\r\n\r\n",
            "\r\nGET / HTTP/1.0\r\n\r\nGET /2 HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
            POST_WITH_HOST + "Connection: x, Close\r\nContent-Length: 3\r\n\r\nabc",
            POST_WITH_HOST + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nab",
            POST_WITH_HOST
                + "transfer-encoding: chunked\r\n\r\n"
                + "3;x=y\r\n"
                + "abc\r\n"
                + "0a\r\n"
                + "0123456789\r\n"
                + "0\r\n"
                + "T: 1\r\n\r\n",
            POST_WITH_HOST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            POST_WITH_HOST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            POST_WITH_HOST + "Content-Length: -3\r\n\r\n",
            POST_WITH_HOST + "Content-Length: 65537\r\n\r\n",
            POST_WITH_HOST + "Transfer-Encoding: gzip\r\n\r\n",
            POST_WITH_HOST + CHUNKED + "xyz",
            POST_WITH_HOST + CHUNKED + "2\r\nabc",
            POST_WITH_HOST + CHUNKED + "\r\n",
            POST_WITH_HOST + CHUNKED + "1ffff\r\n" + "z".repeat(70_000),
            POST_WITH_HOST + "A : 1\r\n\r\n",
            POST_WITH_HOST + "A: 1\r\n folded\r\n\r\n",
            POST_WITH_HOST + "A: 1\u0001\r\n\r\n",
            POST_WITH_HOST + "A\r\n\r\n",
            POST_WITH_HOST + "A: 1\r\n".repeat(101) + "\r\n",
            POST_WITH_HOST + "A: " + "1".repeat(20_000),
            "GET http://a/ HTTP/1.1\r\n\r\n",
            "GET  /a HTTP/1.1\r\n\r\n",
            "GET /a HTTP/2.0\r\n\r\n",
            "BREW /a HTTP/1.1\r\n\r\n",
            "\u0016\u0003\u0001\n\n",
            "GET /a\r\n\r\n"));
  }

  @Test
  void decodesValidResponsesAndRejectsOthers() throws IOException {
    assertDecodedAsInTrace(
        "http-answers",
        ResponseDecoder::new,
        List.of(
            OK_LINE + "Content-Length: 2\r\n\r\nhi" + OK_LINE + "Content-Length: 0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n" + OK_LINE + CHUNKED + "2\r\nhi\r\n0\r\n\r\n",
            OK_LINE + "Content-Length: 5\r\n\r\nhi",
            OK_LINE + CHUNKED + "5\r\nhi",
            "HTTP/1.1 204 No Content\r\n\r\n",
            OK_LINE + "\r\nno length, till the end",
            "HTTP/1.1 2000 OK\r\n\r\n",
            "SSH-2.0-x\r\n\r\n",
            OK_LINE + "Content-Length: 99999\r\n\r\n"));
  }

  /** Each JSON object is returned as one text, other text line by line. */
  @Test
  void decodesLines() throws IOException {
    String chunked = OK_LINE + CHUNKED;
    String untilClose = OK_LINE + "\r\n";
    for (String text :
        List.of(
            chunked + "4\r\n{\"a\"\r\n6\r\n:1}\n\n{\r\n2\r\n}\n\r\n1\r\n\n\r\n",
            untilClose + "{}\n\n",
            untilClose + "{\r\n  \"a\": [\n    {\"b\": \"}\\\"{\"}\n  ]\n}\n\n{}\n",
            untilClose + "no object\n[]\n{\"cut off\n{}\n",
            "HTTP/1.1 503 No\r\n\r\n",
            chunked + "q")) {
      recorder.recordLine(abbreviate(text));
      try {
        recordLines(text);
      } catch (MalformedMessageException e) {
        recorder.recordLine("  bad: " + e.getMessage());
      }
    }
    recorder.assertMatches("http-lines");
  }

  private void recordLines(String text) throws MalformedMessageException {
    LineDecoder decoder = new LineDecoder();
    for (byte b : bytes(text)) {
      decoder.writableBuffer().put(b);
      for (String line = decoder.next(); line != null; line = decoder.next()) {
        recorder.recordLine("  [" + line + "]");
      }
    }
  }

  @Test
  void encodesMessages() throws IOException {
    byte[] body = bytes("hi");
    Headers headers = new Headers().with("A", "1");
    for (ByteBuffer message :
        List.of(
            Encoder.request(new Request("GET", "/a", headers, true, NO_BYTES)),
            Encoder.request(new Request("POST", "/a", headers, true, NO_BYTES)),
            Encoder.request(new Request("PUT", "/a?b", new Headers(), false, body)),
            Encoder.response(new Response(200, headers, true, body)),
            Encoder.response(new Response(503, new Headers(), false, NO_BYTES)),
            Encoder.continueResponse())) {
      recorder.recordLine(onOneLine(message));
    }
    recorder.assertMatches("http-encoded");
  }

  private static String onOneLine(ByteBuffer bytes) {
    return StandardCharsets.ISO_8859_1.decode(bytes).toString().replace("\r\n", "|");
  }

  private static Stream<Arguments> framingsOfRest() {
    return Stream.of(
        Arguments.of(BodyFraming.EMPTY, "Content-Length: 2||hi"),
        Arguments.of(BodyFraming.fixedLength(5), "Content-Length: 7||hi"),
        Arguments.of(BodyFraming.CHUNKED, "Transfer-Encoding: chunked||2|hi|"),
        Arguments.of(BodyFraming.UNTIL_CLOSE, "|hi"));
  }

  /** The head of a message gives the framing of the complete body, including the rest of it. */
  @ParameterizedTest
  @MethodSource("framingsOfRest")
  void encodesFramingOfCompleteBody(BodyFraming remainingBody, String expectedEnd) {
    Response response =
        new Response(StatusCode.OK, new Headers(), true, bytes("hi"), remainingBody);
    assertEquals("HTTP/1.1 200 OK|" + expectedEnd, onOneLine(Encoder.response(response)));
  }

  /** A response to HEAD has the length of the body that GET would return, and no body. */
  @Test
  void encodesResponseToHeadWithLengthAndWithoutBody() {
    Response response = new Response(StatusCode.OK, new Headers(), true, bytes("hi"));
    assertEquals(
        "HTTP/1.1 200 OK|Content-Length: 2||",
        onOneLine(Encoder.response(response.withoutBody().withoutBody())));
  }
}
