import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import java.util.concurrent.Executors;

/**
 * The servers needed to try out a proxy on one machine: a few example backends and a discovery
 * server with their endpoint list, all on 127.0.0.1. Start it with: java example/ToyServer.java
 * [backends]. Discovery listens on port 9000, the backends on the ports from 9001 on. It may be
 * stopped and started at any time to watch how the proxy reacts.
 */
public final class ToyServer {
  private static final int LIST_PORT = 9000;
  private static final int DEFAULT_BACKENDS = 3;
  private static final int BACKLOG = 64;

  /** How long a request without a cost hint takes. */
  private static final long DEFAULT_WORK_MILLIS = 20;

  /** Interval of the empty lines that are sent to a watch as heartbeats. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 2000;

  private static final long MICROS_PER_MILLI = 1000;

  private ToyServer() {}

  /**
   * Starts the backends and the discovery server.
   *
   * @param args the number of backends, 3 if absent
   * @throws IOException if a port is taken
   */
  public static void main(String[] args) throws IOException {
    int backendCount = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_BACKENDS;
    StringJoiner endpoints = new StringJoiner(",");
    for (int i = 1; i <= backendCount; i++) {
      String name = "toy-" + i;
      int port = LIST_PORT + i;
      startBackend(name, port);
      endpoints.add(endpoint(name, port));
    }
    String snapshot = "{\"rev\":1,\"all\":true,\"targets\":[" + endpoints + "]}\n";
    HttpServer list = startServer(LIST_PORT);
    list.createContext("/v1/endpoints", exchange -> serveWatch(exchange, snapshot));
    System.out.println(
        backendCount
            + " backends on the ports from "
            + (LIST_PORT + 1)
            + " on, endpoint list on port "
            + LIST_PORT);
  }

  private static void startBackend(String name, int port) throws IOException {
    HttpServer server = startServer(port);
    server.createContext("/health", exchange -> answer(exchange, "well\n"));
    server.createContext(
        "/",
        exchange -> {
          work(exchange);
          String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
          answer(exchange, name + " answers " + request + "\n");
        });
  }

  private static String endpoint(String name, int port) {
    return "{\"uid\":\""
        + name
        + "\",\"endpoint\":\"127.0.0.1:"
        + port
        + "\",\"az\":\"home\","
        + "\"model\":\"toy\",\"pod_group\":0,\"state\":\"SERVING\",\"capacity_hint\":1,"
        + "\"boot_ms\":0}";
  }

  private static HttpServer startServer(int port) throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    HttpServer server = HttpServer.create(new InetSocketAddress(loopback, port), BACKLOG);
    server.setExecutor(Executors.newCachedThreadPool());
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(200, body.length);
    try (OutputStream output = exchange.getResponseBody()) {
      output.write(body);
    }
  }

  /** Sleeps for the time of the cost hint, which is in microseconds. */
  private static void work(HttpExchange exchange) {
    String hint = exchange.getRequestHeaders().getFirst("Work-Hint");
    try {
      Thread.sleep(hint == null ? DEFAULT_WORK_MILLIS : Long.parseLong(hint) / MICROS_PER_MILLI);
    } catch (InterruptedException | NumberFormatException e) {
      Thread.currentThread().interrupt(); // also after a malformed hint, so that no answer is sent
    }
  }

  /** Sends a snapshot of the list, then heartbeats until the proxy closes the connection. */
  private static void serveWatch(HttpExchange exchange, String snapshot) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream output = exchange.getResponseBody()) {
      String line = snapshot;
      while (true) {
        output.write(line.getBytes(StandardCharsets.UTF_8));
        output.flush();
        Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
        line = "\n";
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
