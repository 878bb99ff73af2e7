package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * The backend behind all entries of the endpoint lists. It answers each request immediately, with a
 * thread for each connection.
 */
final class StubBackend implements AutoCloseable {
  private static final int BACKLOG = 256;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket listener;

  StubBackend() throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress("127.0.9.1", 0), BACKLOG);
    DaemonThreads.start(this::acceptConnections);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void acceptConnections() throws IOException {
    while (true) {
      Socket connection = listener.accept();
      DaemonThreads.start(() -> serve(connection));
    }
  }

  private static void serve(Socket connection) throws IOException {
    connection.setTcpNoDelay(true);
    String head = HttpMessages.readHead(connection.getInputStream());
    while (head != null) {
      connection.getOutputStream().write(RESPONSE);
      head = HttpMessages.readHead(connection.getInputStream());
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
