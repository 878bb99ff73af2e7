package wheattrack.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Plain HTTP/1.1 messages with a known length, on a blocking socket. One thread at a time. */
final class HttpStream {
  /**
   * A message.
   *
   * @param head its first line and headers
   */
  record Message(String head) {
    /** The status of an answer. */
    int status() {
      return Integer.parseInt(head.split(" ", 3)[1]);
    }

    /** Whether the sender will close the connection. */
    boolean saysClose() {
      return header("Connection").equalsIgnoreCase("close");
    }

    /** The value of a header, or an empty text. */
    String header(String name) {
      String prefix = name.toLowerCase(Locale.ROOT) + ":";
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
          return line.substring(prefix.length()).strip();
        }
      }
      return "";
    }
  }

  private static final int PEEK_MILLIS = 1;

  private final Socket socket;
  private final InputStream input;

  HttpStream(Socket socket) throws IOException {
    this.socket = socket;
    input = new BufferedInputStream(socket.getInputStream());
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Whether the peer has closed its side by now; nothing may be received meanwhile. */
  boolean isEnded() throws IOException {
    int timeout = socket.getSoTimeout();
    socket.setSoTimeout(PEEK_MILLIS);
    try {
      input.mark(1);
      boolean isEnded = input.read() < 0;
      input.reset();
      return isEnded;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      socket.setSoTimeout(timeout);
    }
  }

  /** The next message, its body dropped; null if the stream ends before it is complete. */
  Message read() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        return null;
      }
      head.append((char) next);
    }
    Message message = new Message(head.toString());
    String length = message.header("Content-Length");
    input.skipNBytes(length.isEmpty() ? 0 : Long.parseLong(length));
    return message;
  }
}
