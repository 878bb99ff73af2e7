package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A proxy in a process of its own, with a small heap, and hundreds of peers that each hold some of
 * its memory: the process must not end, and the sum must stay within its limit.
 */
@Timeout(60)
class MessageMemoryTest extends ProxyTestHarness {
  private static final String MAX_HEAP = "-Xmx24m";
  private static final int PEERS = 400;

  /** How many usual clients call at a time. */
  private static final int USUAL_CLIENTS = 3;

  /** How often all peers begin anew. */
  private static final int ROUNDS = 4;

  private static final int PAUSE_MILLIS = 500;
  private static final int PEER_RECEIVE_BUFFER_BYTES = 4096;

  /** How far a step may exceed the limit until the next one reclaims memory. */
  private static final long STEP_BYTES = 256 * 1024;

  private static final String SHORT_BODY = "b".repeat(65_536);

  /** What a peer holds, as what it sends; the backends do what the target asks for. */
  private enum Peer {
    SHORT_BODY_INCOMPLETE(head("pay", "x", 65_536) + SHORT_BODY.substring(36), true),
    CHUNKED_BODY_INCOMPLETE(
        "POST /pay/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"
            + SHORT_BODY.substring(9),
        true),
    LONG_BODY_INCOMPLETE(head("pay", "x", 1_000_000) + SHORT_BODY.substring(50_000), true),
    HEAD_INCOMPLETE("GET /buy/x HTTP/1.1\r\nA: " + SHORT_BODY.substring(50_000), true),
    HEAD_LONG_IN_FLIGHT(
        head("pay", "hang", 0)
            .replace("\r\n\r\n", "\r\nA: " + SHORT_BODY.substring(50_000) + "\r\n\r\n"),
        false),
    SHORT_BODY_IN_FLIGHT(head("pay", "hang", 65_536) + SHORT_BODY, false),
    SENT_AHEAD(head("pay", "hang", 0) + SHORT_BODY.substring(33_000), false),
    RESPONSE_UNREAD(head("buy", "long", 0), false),
    RESPONSE_INCOMPLETE(head("buy", "part", 0), false),
    CLIENT_LEFT(head("pay", "hang", 65_536) + SHORT_BODY, false);

    private final String text;

    /** Whether no backend is occupied, so that the usual requests must all be served. */
    private final boolean isStalledBeforeBackend;

    Peer(String text, boolean isStalledBeforeBackend) {
      this.text = text;
      this.isStalledBeforeBackend = isStalledBeforeBackend;
    }

    private static String head(String className, String action, int length) {
      return "POST /"
          + className
          + "/"
          + action
          + " HTTP/1.1\r\nRequest-Id: ID\r\nContent-Length: "
          + length
          + "\r\n\r\n";
    }
  }

  @TempDir Path folder;

  private Process process;
  private int adminPort;
  private int lastId;

  private static void serveBackend(Socket socket) throws IOException {
    for (String head = readHead(socket.getInputStream());
        head != null;
        head = readHead(socket.getInputStream())) {
      socket.getInputStream().readNBytes(RawHttp.contentLength(head));
      String body = "answer for " + RawHttp.requestId(head);
      if (head.contains("/long")) {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n");
        for (int i = 0; i < 100; i++) {
          send(socket, SHORT_BODY);
        }
      } else if (head.contains("/part")) {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + SHORT_BODY.substring(9));
      } else if (!head.contains("/hang")) {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      }
    }
  }

  private void startProcess() throws Exception {
    String[] endpoints = new String[4];
    for (int i = 0; i < endpoints.length; i++) {
      endpoints[i] =
          endpoint("s" + i, "SERVING", listen(MessageMemoryTest::serveBackend).getLocalPort());
    }
    endpointList.send(listLine(1, true, endpoints));
    port = freePort();
    adminPort = freePort();
    String text =
        config(listen(endpointList::serve).getLocalPort(), MAX_SOCKETS, "{}")
            .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
            .replace("{\"listen\"", "{\"admin\":\"127.0.0.1:" + adminPort + "\",\"listen\"");
    Path file = Files.writeString(folder.resolve("config.json"), text);
    process = proxyProcess(file, folder.resolve("log.txt"), MAX_HEAP, "-XX:+UseSerialGC").start();
    while (!isReady()) {
      Thread.sleep(20);
    }
  }

  private boolean isReady() {
    try {
      return call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200");
    } catch (IOException e) {
      return false; // the process does not listen yet
    }
  }

  @AfterEach
  void endProcess() throws Exception {
    process.destroyForcibly().waitFor();
  }

  private long processMetric(String name) throws IOException {
    return metric(adminPort, name);
  }

  /** Opens a peer that does not read, and sends its text as far as the proxy takes it. */
  private Socket openPeer(Peer peer) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(PEER_RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", port), PAUSE_MILLIS);
    try {
      send(socket, peer.text.replace("ID", "p" + ++lastId));
    } catch (IOException e) {
      // the proxy has closed the connection to reclaim its memory
    }
    return socket;
  }

  private void runPeers(Peer peer, TreeMap<String, Integer> answers) throws Exception {
    List<Socket> peers = new ArrayList<>();
    for (int i = 0; i < PEERS; i++) {
      Socket socket = openPeer(peer);
      peers.add(socket);
      if (peer == Peer.CLIENT_LEFT) {
        socket.close();
      }
      if (peer.isStalledBeforeBackend && i % 20 == 0) {
        checkWithin(answers);
      }
    }
    checkWithin(answers);
    Thread.sleep(PAUSE_MILLIS);
    checkWithin(answers);
    for (Socket socket : peers) {
      socket.close();
    }
  }

  /** Some usual clients are answered while the sum is within its limit. */
  private void checkWithin(TreeMap<String, Integer> answers) throws IOException {
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      try (Socket client = new Socket("127.0.0.1", port)) { // waits beside occupied backends
        String answer = call(client, request("buy"));
        answers.merge(answer.replaceAll("answer for .*", "served"), 1, Integer::sum);
      }
    }
    long used = processMetric("memory_used");
    long limit = processMetric("memory_limit");
    assertTrue(used <= limit + STEP_BYTES, used + " bytes used, limit " + limit);
  }

  // Guards against a process that ends because the sum of what its peers hold is not bounded.
  @ParameterizedTest
  @EnumSource(Peer.class)
  void processOutlivesPeersThatHoldItsMemory(Peer peer) throws Exception {
    startProcess();
    TreeMap<String, Integer> answers = new TreeMap<>();
    for (int i = 0; i < ROUNDS; i++) {
      runPeers(peer, answers);
    }
    assertTrue(process.isAlive(), () -> "exit code " + process.exitValue() + "\n" + log());
    assertEquals(0, processMetric("steps_failed"), this::log);
    if (peer.isStalledBeforeBackend) {
      assertEquals(1, answers.size(), "usual clients: " + answers + "\n" + log());
      assertTrue(answers.containsKey("200 served"), "usual clients: " + answers);
    }
  }

  private String log() {
    try {
      return Files.readString(folder.resolve("log.txt"));
    } catch (IOException e) {
      return e.toString();
    }
  }

  // Guards against memory that is counted but never released.
  @Test
  void closedConnectionsHoldNothing() throws Exception {
    startProcess();
    long before = processMetric("memory_used");
    for (Peer peer : Peer.values()) {
      Socket socket = openPeer(peer);
      Thread.sleep(50);
      socket.close();
    }
    long deadline = System.nanoTime() + 10_000_000_000L;
    while (processMetric("in_flight") > 0 && System.nanoTime() < deadline) {
      Thread.sleep(50);
    }
    Thread.sleep(PAUSE_MILLIS);
    long after = processMetric("memory_used");
    long idleConnectionBytes = 4 * 4 * 1024; // some connections to backends stay open
    assertTrue(
        after <= before + idleConnectionBytes, before + " bytes before, " + after + " after");
    assertEquals("200", call(request("buy")).substring(0, 3));
  }
}
