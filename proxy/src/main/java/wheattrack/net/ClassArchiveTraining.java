package wheattrack.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.ProxyConfig;

/**
 * A start like a real one, for the build, whose JVM keeps the classes that a start needs: discovery
 * and the backends are played. Without a list and reqs, 60 srvs made a start half as long again.
 */
public final class ClassArchiveTraining {
  private static final int SRVS = 8, REQS = 32;

  private ClassArchiveTraining() {}

  /** The file's settings at a free port of this machine; ends when the proxy has. */
  public static void run(Path file) throws IOException {
    try (ServerSocket door = new ServerSocket(0, REQS, InetAddress.getLoopbackAddress())) {
      helper(() -> takeAll(door));
      ProxyConfig config = ProxyConfig.readForTraining(file, door.getLocalPort());
      ProxyServer server = new ProxyServer(config);
      helper(server::run);
      ask(server.port(), "GET /ready HTTP/1.0\r\n\r\n");
      for (int i = 0; i < REQS; i++) {
        String name =
            PolicySettingsMapper.classNames(config.settings())
                .get(i % PolicySettingsMapper.classNames(config.settings()).size());
        ask(
            server.port(),
            "POST /"
                + name
                + " HTTP/1.1\r\nConnection: close\r\nRequest-Id: "
                + i
                + "\r\nWork-Hint: "
                + (1000 + 997 * i)
                + "\r\nContent-Length: 2\r\n\r\nhi");
      }
      server.end();
    }
  }

  private static void helper(Runnable work) {
    Thread thread = new Thread(work, "rehearsal");
    thread.setDaemon(true);
    thread.start();
  }

  private static void ask(int port, String text) throws IOException {
    try (Socket proxy = new Socket(InetAddress.getLoopbackAddress(), port)) {
      proxy.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      proxy.getInputStream().readAllBytes();
    }
  }

  private static void takeAll(ServerSocket door) {
    try {
      while (true) {
        Socket one = door.accept();
        helper(() -> answer(one, door.getLocalPort()));
      }
    } catch (IOException e) {
      return; // the rehearsal is over
    }
  }

  private static void answer(Socket one, int port) {
    try (one) {
      InputStream in = new BufferedInputStream(one.getInputStream());
      for (String head = head(in); head != null; head = head(in)) {
        String body = head.startsWith("GET /v1/endpoints") ? list(port) : "ok";
        in.skipNBytes(head.startsWith("POST") ? 2 : 0);
        one.getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n"
                        + (body.equals("ok") ? "0\r\n\r\n" : ""))
                    .getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      return; // the proxy has ended it
    }
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      head.append((char) c);
      if (c == '\n' && head.indexOf("\r\n\r\n") >= 0) {
        return head.toString();
      }
    }
    return null;
  }

  private static String list(int port) {
    StringBuilder entries = new StringBuilder();
    for (int i = 0; i < SRVS; i++) {
      entries
          .append(i == 0 ? "" : ",")
          .append("{'uid':'s-")
          .append(i)
          .append("','endpoint':'127.0.0.1:")
          .append(port)
          .append("','az':'a','model':'m','state':'SERVING','capacity_hint':1.5,")
          .append("'boot_ms':0}");
    }
    return ("{'rev':1,'all':true,'targets':[" + entries + "]}\n").replace('\'', '"');
  }
}
