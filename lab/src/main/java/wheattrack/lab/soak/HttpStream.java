package wheattrack.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Writes text to a blocking socket and reads HTTP/1.1 messages of known length from it. For one
 * thread at a time.
 */
final class HttpStream {
  /**
   * A received message without its body.
   *
   * @param head its start line and headers, up to the empty line that ends them
   */
  record Message(String head) {
    /** The status code, if the message is a response. */
    int status() {
      return Integer.parseInt(head.split(" ", 3)[1]);
    }

    /** Whether the sender announces that it will close the connection. */
    boolean announcesClose() {
      return header("Connection").equalsIgnoreCase("close");
    }

    /** The value of a header, or an empty string if the message does not have it. */
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

  private static final String END_OF_HEAD = "\r\n\r\n";

  /** How long {@link #isEnded} waits for the end of the stream. */
  private static final int END_CHECK_MILLIS = 1;

  private final Socket socket;
  private final InputStream input;

  HttpStream(Socket socket) throws IOException {
    this.socket = socket;
    input = new BufferedInputStream(socket.getInputStream());
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Whether the peer has closed its side. Must not be called while a message is being received. */
  boolean isEnded() throws IOException {
    int timeout = socket.getSoTimeout();
    socket.setSoTimeout(END_CHECK_MILLIS);
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

  /**
   * Reads the next message and skips its body; null if the stream ends within or before its head.
   */
  Message read() throws IOException {
    StringBuilder head = new StringBuilder();
    int endLength = END_OF_HEAD.length();
    while (head.length() < endLength
        || !head.substring(head.length() - endLength).equals(END_OF_HEAD)) {
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
