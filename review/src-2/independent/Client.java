package independent;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;

/** A client with one kept connection and one request at a time, as the protocol page has it. */
final class Client implements AutoCloseable {
  /** An answer; its status is 0 if no whole answer came. */
  static final class Answer {
    final int status;
    final String head;
    final String body;

    Answer(int status, String head, String body) {
      this.status = status;
      this.head = head;
      this.body = body;
    }
  }

  private final int port;
  private Socket socket;
  private InputStream input;
  private int readTimeoutMillis = 10_000;

  Client(int port) {
    this.port = port;
  }

  void setReadTimeout(int millis) {
    readTimeoutMillis = millis;
  }

  static byte[] get(String target, String headers) {
    return Rig.bytes("GET " + target + " HTTP/1.1\r\nHost: service.internal\r\n" + headers + "\r\n");
  }

  static byte[] post(String target, String headers, String body) {
    return Rig.bytes(
        "POST " + target + " HTTP/1.1\r\nHost: service.internal\r\n" + headers
            + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  void connect() throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
    socket.setSoTimeout(readTimeoutMillis);
    input = new BufferedInputStream(socket.getInputStream());
  }

  Socket socket() {
    return socket;
  }

  /**
   * Sends a request and reads its answer. Where a kept connection ends without a byte of an answer,
   * the request is sent once more on a new one.
   */
  Answer exchange(byte[] request) throws IOException {
    boolean isKept = socket != null;
    try {
      return tryOnce(request);
    } catch (ClosedUnanswered e) {
      if (!isKept) {
        throw e;
      }
      return tryOnce(request);
    }
  }

  private Answer tryOnce(byte[] request) throws IOException {
    if (socket == null) {
      connect();
    }
    socket.setSoTimeout(readTimeoutMillis);
    String head;
    try {
      socket.getOutputStream().write(request);
      head = Wire.readHead(input);
    } catch (java.net.SocketTimeoutException e) {
      close();
      throw e;
    } catch (IOException e) {
      close();
      throw new ClosedUnanswered(e.toString());
    }
    if (head == null) {
      close();
      throw new ClosedUnanswered("closed");
    }
    return answer(head);
  }

  /** Reads the answer to a request that was written to {@link #socket}. */
  Answer readAnswer() throws IOException {
    String head = Wire.readHead(input);
    return head == null ? new Answer(0, "", "closed") : answer(head);
  }

  private Answer answer(String head) {
    try {
      int status = Integer.parseInt(head.split(" ")[1]);
      String body = Wire.readBody(input, head);
      if (Wire.header(head, "Connection", "").toLowerCase(Locale.ROOT).contains("close")) {
        close();
      }
      return new Answer(status, head, body);
    } catch (IOException e) {
      close();
      return new Answer(0, head, "not whole: " + e);
    }
  }

  /** The connection ended before any byte of an answer. */
  static final class ClosedUnanswered extends IOException {
    private static final long serialVersionUID = 1;

    ClosedUnanswered(String text) {
      super(text);
    }
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // closed either way
      }
      socket = null;
    }
  }
}
