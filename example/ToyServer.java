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
 * What a proxy needs around it, to try it at home: some toy backends and the list that names them,
 * all on 127.0.0.1. Start it with: java example/ToyServer.java [backends]. Backends listen from
 * port 9001 on, the list at 9000. Kill or start it again at will and watch what the proxy does.
 */
public final class ToyServer {
  private static final int LIST = 9000;

  public static void main(String[] args) throws IOException {
    int backends = args.length > 0 ? Integer.parseInt(args[0]) : 3;
    StringJoiner targets = new StringJoiner(",");
    for (int i = 1; i <= backends; i++) {
      String name = "toy-" + i;
      int port = LIST + i;
      HttpServer server = open(port);
      server.createContext("/health", e -> answer(e, "well\n"));
      server.createContext(
          "/",
          e -> {
            work(e);
            answer(e, name + " answers " + e.getRequestMethod() + " " + e.getRequestURI() + "\n");
          });
      targets.add(
          "{\"uid\":\""
              + name
              + "\",\"endpoint\":\"127.0.0.1:"
              + port
              + "\",\"az\":\"home\","
              + "\"model\":\"toy\",\"pod_group\":0,\"state\":\"SERVING\",\"capacity_hint\":1,"
              + "\"boot_ms\":0}");
    }
    HttpServer list = open(LIST);
    String whole = "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}\n";
    list.createContext("/v1/endpoints", e -> watch(e, whole));
    System.out.println(
        backends + " backends from port " + (LIST + 1) + " on, their list at " + LIST);
  }

  private static HttpServer open(int port) throws IOException {
    InetAddress home = InetAddress.getByName("127.0.0.1");
    HttpServer server = HttpServer.create(new InetSocketAddress(home, port), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.start();
    return server;
  }

  private static void answer(HttpExchange e, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    e.getRequestBody().readAllBytes();
    e.sendResponseHeaders(200, body.length);
    try (OutputStream out = e.getResponseBody()) {
      out.write(body);
    }
  }

  /** As long as the hint says, in microseconds, or 20 ms. */
  private static void work(HttpExchange e) {
    String hint = e.getRequestHeaders().getFirst("Work-Hint");
    try {
      Thread.sleep(hint == null ? 20 : Long.parseLong(hint) / 1000);
    } catch (InterruptedException | NumberFormatException skipped) {
      Thread.currentThread().interrupt();
    }
  }

  /** The whole list at once, then an empty line every 2 s until the proxy hangs up. */
  private static void watch(HttpExchange e, String whole) throws IOException {
    e.sendResponseHeaders(200, 0);
    try (OutputStream out = e.getResponseBody()) {
      for (String line = whole; ; line = "\n") {
        out.write(line.getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(2000);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
