package wheattrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/** Messages from bytes that come one at a time, and back. */
class HttpCodecTest {
  private static String short80(String text) {
    String plain = text.replace("\r\n", "|").replace("\n", "!");
    return plain.length() > 80 ? plain.substring(0, 70) + "... (" + plain.length() + ")" : plain;
  }

  /** What is passed on of a long message, as a count. */
  private static String rest(Decoder<?> in, String text, int from)
      throws MalformedMessageException {
    int size = 0;
    int at = from;
    while (in.isStreamingBody() && at < text.length()) {
      in.writableBuffer().put((byte) text.charAt(at++));
      size += in.nextBodyPart().remaining();
    }
    return at + "/" + size + (in.isStreamingBody() ? " not whole" : " whole");
  }

  /**
   * Every message, cut at every point and fed byte by byte or as two packets, is the same message.
   */
  @Test
  void everySplit() throws Exception {
    String body = "0123456789abcdef".repeat(70);
    String head = "POST /buy HTTP/1.1\r\nHost: a\r\n";
    for (String text :
        new String[] {
          head + "Content-Length: 1120\r\n\r\n" + body,
          head
              + "Transfer-Encoding: chunked\r\n\r\n460;a=\"b\"\r\n"
              + body
              + "\r\n0\r\nT: 1\r\nU: 2\r\n\r\n"
        }) {
      for (int cut = 0; cut <= text.length(); cut++) {
        RequestDecoder in = new RequestDecoder();
        Request got = null;
        String both = text + text;
        for (int from = 0, n = 0; from < both.length(); from += n) {
          n = Math.min(in.writableBuffer().remaining(), (from < cut ? cut : both.length()) - from);
          in.writableBuffer()
              .put(both.substring(from, from + n).getBytes(StandardCharsets.ISO_8859_1));
          for (Request next = in.next(); next != null; next = in.next()) {
            got = next;
            assertEquals(body, new String(next.body(), StandardCharsets.ISO_8859_1));
          }
        }
        assertTrue(got != null && got.remainingBody() == 0 && !in.isMidMessage(), "cut at " + cut);
      }
    }
  }

  /** Long ones: the head with a first part, the rest in pieces, then the next message. */
  @Test
  void longOnes() throws Exception {
    TraceRecorder w = new TraceRecorder();
    String post = "POST /buy HTTP/1.1\r\n",
        ok = "HTTP/1.1 200 OK\r\n",
        next = "GET /n HTTP/1.1\r\n\r\n";
    String chunk = "8000;e=" + "x".repeat(50) + "\r\n" + "z".repeat(32_768) + "\r\n";
    for (String text :
        new String[] {
          post + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000) + next,
          post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3) + "0\r\n\r\n" + next,
          post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(2) + "xyz",
          post + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(5)
        }) {
      longOne(w, new RequestDecoder(150_000), text);
    }
    for (String text :
        new String[] {
          ok + "Content-Length: 100000\r\n\r\n" + "z".repeat(100_000),
          ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3) + "0\r\n\r\n",
          ok + "Content-Length: 3000000000\r\n\r\n",
          ok + "\r\n" + "z".repeat(70_000)
        }) {
      longOne(w, new ResponseDecoder(150_000), text);
    }
    ResponseDecoder in = new ResponseDecoder();
    in.expectNoBody(true);
    feed(w, in, ok + "Content-Length: 5\r\n\r\n");
    w.matches("http-long");
  }

  private static void longOne(TraceRecorder w, Decoder<?> in, String text) {
    w.say(short80(text));
    try {
      for (int at = 0; at < text.length(); at++) {
        in.writableBuffer().put((byte) text.charAt(at));
        Object got = in.next();
        if (got != null) {
          long more =
              got instanceof Request r ? r.remainingBody() : ((Response) got).remainingBody();
          w.say("  " + print(got).replaceAll("body=.*\\(", "body of (") + ", more " + more);
          if (in.isStreamingBody()) {
            String rest = rest(in, text, at + 1);
            at = Integer.parseInt(rest.split("/")[0]) - 1;
            w.say("  and " + rest.split("/")[1]);
          }
        }
      }
      if (in.endOfStream()) {
        w.say(
            "  till the end: "
                + in.nextBodyPart().remaining()
                + (in.isStreamingBody() ? " and on" : " whole"));
      }
    } catch (MalformedMessageException e) {
      w.say("  bad, " + e.status + ": " + e.getMessage());
    }
  }

  private static String print(Object message) {
    if (message instanceof Request r) {
      return r.method()
          + " "
          + r.target()
          + headers(r.headers())
          + (r.keepAlive() ? " keep" : " close")
          + " body="
          + short80(new String(r.body(), StandardCharsets.ISO_8859_1));
    }
    Response r = (Response) message;
    return r.status()
        + headers(r.headers())
        + (r.keepAlive() ? " keep" : " close")
        + " body="
        + short80(new String(r.body(), StandardCharsets.ISO_8859_1));
  }

  private static String headers(Headers h) {
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < h.size(); i++) {
      s.append(' ').append(h.name(i)).append('=').append(h.value(i));
    }
    return s.toString();
  }

  private static void feed(TraceRecorder w, Decoder<?> in, String text) {
    w.say(short80(text));
    for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
      in.writableBuffer().put(b);
      try {
        Object message = in.next();
        if (message != null) {
          w.say("  " + print(message));
        }
      } catch (MalformedMessageException e) {
        w.say("  bad, " + e.status + ": " + e.getMessage());
        return;
      }
    }
    if (in.isMidMessage()) {
      w.say("  not whole");
    }
  }

  @Test
  void requests() throws IOException {
    TraceRecorder w = new TraceRecorder();
    String post = "POST /buy HTTP/1.1\r\nHost: a\r\n";
    for (String in :
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
      feed(w, new RequestDecoder(), in);
    }
    w.matches("http-requests");
  }

  @Test
  void answers() throws IOException {
    TraceRecorder w = new TraceRecorder();
    String ok = "HTTP/1.1 200 OK\r\n";
    for (String in :
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
      feed(w, new ResponseDecoder(), in);
    }
    w.matches("http-answers");
  }

  @Test
  void lines() throws IOException {
    TraceRecorder w = new TraceRecorder();
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    String plain = "HTTP/1.1 200 OK\r\n\r\n";
    for (String in :
        new String[] {
          head + "4\r\n{\"a\"\r\n6\r\n:1}\n\n{\r\n2\r\n}\n\r\n1\r\n\n\r\n",
          plain + "{}\n\n",
          plain + "{\r\n  \"a\": [\n    {\"b\": \"}\\\"{\"}\n  ]\n}\n\n{}\n",
          plain + "no object\n[]\n{\"cut off\n{}\n",
          "HTTP/1.1 503 No\r\n\r\n",
          head + "q"
        }) {
      LineDecoder lines = new LineDecoder();
      w.say(short80(in));
      try {
        for (byte b : in.getBytes(StandardCharsets.ISO_8859_1)) {
          lines.writableBuffer().put(b);
          for (String line = lines.next(); line != null; line = lines.next()) {
            w.say("  [" + line + "]");
          }
        }
      } catch (MalformedMessageException e) {
        w.say("  bad: " + e.getMessage());
      }
    }
    w.matches("http-lines");
  }

  @Test
  void encodes() throws IOException {
    TraceRecorder w = new TraceRecorder();
    byte[] hi = "hi".getBytes(StandardCharsets.ISO_8859_1);
    Headers one = new Headers().with("A", "1");
    for (var bytes :
        new java.nio.ByteBuffer[] {
          Encoder.request(new Request("GET", "/a", one, true, new byte[0])),
          Encoder.request(new Request("POST", "/a", one, true, new byte[0])),
          Encoder.request(new Request("PUT", "/a?b", new Headers(), false, hi)),
          Encoder.response(new Response(200, one, true, hi)),
          Encoder.response(new Response(503, new Headers(), false, new byte[0])),
          Encoder.continueResponse()
        }) {
      w.say(StandardCharsets.ISO_8859_1.decode(bytes).toString().replace("\r\n", "|"));
    }
    w.matches("http-encoded");
  }
}
