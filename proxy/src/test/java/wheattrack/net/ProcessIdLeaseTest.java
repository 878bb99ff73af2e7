package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.net.RawHttp.readAnswer;
import static wheattrack.net.RawHttp.readHead;
import static wheattrack.net.RawHttp.request;
import static wheattrack.net.RawHttp.requestId;
import static wheattrack.net.RawHttp.send;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two processes of one proxy, one of which holds an open request. Guards against the other one
 * running the same request a second time.
 */
class ProcessIdLeaseTest extends ProxyTestHarness {
  private static final int READY_POLLS = 300;
  private static final int READY_POLL_MILLIS = 20;

  /** How long a backend works on a request. */
  private static final int WORK_MILLIS = 400;

  /** The timeout of a request's client, within which its id is held. */
  private static final int CLIENT_TIMEOUT_MILLIS = 1500;

  private static final int ARRIVAL_MILLIS = 200;

  @TempDir Path folder;

  private final List<Process> processes = new ArrayList<>();

  /** By request id: how often a backend has received it. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private String config;

  @BeforeEach
  void prepareConfig() throws Exception {
    String backend = endpoint("s0", "SERVING", listen(this::serveSlowly).getLocalPort());
    int listPort =
        listen(
                socket -> {
                  readHead(socket.getInputStream());
                  send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                  RawHttp.sendChunk(socket, listLine(1, true, backend) + "\n");
                  while (true) { // an empty line from time to time
                    Thread.sleep(1000);
                    RawHttp.sendChunk(socket, "\n");
                  }
                })
            .getLocalPort();
    port = freePort();
    config = config(listPort).replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
  }

  private void serveSlowly(Socket socket) throws Exception {
    for (String head = readHead(socket.getInputStream());
        head != null;
        head = readHead(socket.getInputStream())) {
      socket.getInputStream().readNBytes(RawHttp.contentLength(head));
      String id = requestId(head);
      runs.merge(id, 1, Integer::sum);
      requestsReceived.incrementAndGet();
      Thread.sleep(WORK_MILLIS);
      String body = "ran " + id;
      send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
  }

  @AfterEach
  void endProcesses() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Starts a process with a configuration of its own, and returns its admin port. */
  private int startProcess() throws Exception {
    int adminPort = freePort();
    Path file = folder.resolve("proxy" + adminPort + ".json");
    String adminKey = "\"admin\":\"127.0.0.1:" + adminPort + "\",";
    Files.writeString(file, config.replace("\"drain_ms\"", adminKey + "\"drain_ms\""));
    ProcessBuilder builder =
        proxyProcess(
            file,
            folder.resolve("log" + adminPort),
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx72m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1");
    builder.environment().put("TMPDIR", folder.toString());
    processes.add(builder.start());
    return adminPort;
  }

  private static boolean isReady(int adminPort) {
    try (Socket socket = new Socket("127.0.0.1", adminPort)) {
      return call(socket, "GET /status HTTP/1.1\r\n\r\n").startsWith("200");
    } catch (IOException e) {
      return false; // the process does not listen yet
    }
  }

  private static void sleepUntilReady(int adminPort, Socket keptOpen) throws Exception {
    int polls = 0;
    while (!isReady(adminPort)) {
      assertTrue(polls++ < READY_POLLS, "the process is not ready");
      Thread.sleep(READY_POLL_MILLIS);
      if (keptOpen != null) {
        call(keptOpen, "GET /ready HTTP/1.1\r\n\r\n");
      }
    }
  }

  /**
   * Starts the older process, then the newer one, and returns a connection to the older one, on
   * which nothing is in flight.
   */
  private Socket startBoth() throws Exception {
    sleepUntilReady(startProcess(), null);
    Socket client = connect();
    sleepUntilReady(startProcess(), client);
    return client;
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
  }

  /** Sends the request on new connections until the process that is not stopped has answered. */
  private String sendToTheOtherProcess(String text) throws Exception {
    for (int i = 0; i < READY_POLLS; i++) {
      try (Socket socket = connect()) {
        socket.setSoTimeout(ARRIVAL_MILLIS);
        send(socket, "GET /ready HTTP/1.1\r\n\r\n");
        readAnswer(socket);
        socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS * 2);
        return call(socket, text);
      } catch (IOException e) {
        continue; // the connection is one of the process that has ended or is stopped
      }
    }
    throw new AssertionError("no process accepts connections");
  }

  private void assertTakenUntilTheDeadline(String text) throws Exception {
    assertTrue(sendToTheOtherProcess(text).startsWith("409"), "expected 409 for an id in use");
    assertTrue(sendToTheOtherProcess(request("buy")).startsWith("200"), "another id");
    Thread.sleep(CLIENT_TIMEOUT_MILLIS);
    assertTrue(sendToTheOtherProcess(text).startsWith("200"), "expected 200 after the deadline");
  }

  /** The older process answers its open request after SIGTERM; the newer one gets the id, too. */
  @Test
  void idOfAnOpenRequestIsRejectedByTheNewerProcess() throws Exception {
    try (Socket client = startBoth()) {
      String text = request("pay");
      send(client, text);
      awaitFirstRequest();
      signal(processes.get(0), "TERM");
      assertTrue(sendToTheOtherProcess(text).startsWith("409"), "expected 409 for an id in use");
      assertEquals("200 ran " + requestId(text), readAnswer(client).replace(" close", ""));
      assertEquals(1, runs.get(requestId(text)));
      assertTrue(processes.get(0).waitFor(5, TimeUnit.SECONDS));
    }
  }

  /** The older process is killed, or stopped, while its request runs. */
  @ParameterizedTest
  @ValueSource(strings = {"KILL", "STOP"})
  void idOutlivesTheProcessThatHoldsIt(String signalName) throws Exception {
    try (Socket client = startBoth()) {
      String text = request("pay");
      send(client, text);
      awaitFirstRequest();
      signal(processes.get(0), signalName);
      assertTakenUntilTheDeadline(text);
    }
  }

  /** The client has left; the process ends before the deadline of its request. */
  @Test
  void idOfADisconnectedClientOutlivesTheProcess() throws Exception {
    String text = request("pay");
    try (Socket client = startBoth()) {
      send(client, text);
      awaitFirstRequest();
    }
    Thread.sleep(READY_POLL_MILLIS);
    signal(processes.get(0), "KILL");
    assertTakenUntilTheDeadline(text);
  }
}
