package independent;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A backend: one thread a connection, one request at a time on each. */
final class Backend implements AutoCloseable {
  /** A request that has come to its last byte. */
  record Request(String method, String target, String id, String head, String body) {}

  /** One connection of a proxy. */
  static final class Connection {
    final Socket socket;
    final InputStream input;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      input = new BufferedInputStream(socket.getInputStream());
    }

    synchronized void send(String text) throws IOException {
      socket.getOutputStream().write(Rig.bytes(text));
      socket.getOutputStream().flush();
    }

    /** Whether a byte of a further request has come. */
    boolean isRequestWaiting() throws IOException {
      return input.available() > 0;
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Runs a request and answers it. */
  interface Handler {
    void handle(Connection connection, Request request) throws Exception;
  }

  /** Serves a connection to its end. */
  interface ConnectionHandler {
    void serve(Connection connection) throws Exception;
  }

  final String name;
  private final ServerSocket listener;
  private final ConnectionHandler connectionHandler;

  /** A backend that reads each request to its last byte. */
  Backend(String name, Handler handler) throws IOException {
    this(connection -> serveRequests(connection, handler), name);
  }

  /** A backend that reads its connections itself. */
  static Backend ofConnections(String name, ConnectionHandler handler) throws IOException {
    return new Backend(handler, name);
  }

  private Backend(ConnectionHandler connectionHandler, String name) throws IOException {
    this.name = name;
    this.connectionHandler = connectionHandler;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Discovery.start(name, this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static String status(int code, String headers) {
    return "HTTP/1.1 " + code + " Status\r\n" + headers + "Content-Length: 0\r\n\r\n";
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Discovery.start(name, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      connectionHandler.serve(new Connection(socket));
    } catch (Exception e) {
      // the proxy has closed, or the case has reset the connection
    }
  }

  private static void serveRequests(Connection connection, Handler handler) throws Exception {
    for (String head = Wire.readHead(connection.input);
        head != null;
        head = Wire.readHead(connection.input)) {
      String body = Wire.readBody(connection.input, head);
      String[] line = head.split("\r\n")[0].split(" ");
      Request request =
          new Request(line[0], line[1], Wire.header(head, "Request-Id", ""), head, body);
      if (request.id().isEmpty()) {
        connection.send(status(404, ""));
      } else {
        handler.handle(connection, request);
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
