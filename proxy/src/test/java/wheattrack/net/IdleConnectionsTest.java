package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/**
 * Idle clients fill all places while discovery is down, before the first list and after one: at its
 * return the list is read in time, and requests are served within theirs.
 */
class IdleConnectionsTest extends ProxyTestHarness {
  /**
   * How idle clients connect: all at once, one after the other, again as soon as they are closed,
   * or again with half a head each.
   */
  enum Arrival {
    AT_ONCE,
    GRADUALLY,
    RECONNECTING,
    WITH_PARTIAL_HEAD
  }

  private static final long NOTIFICATION_TIMEOUT_MILLIS = 6000;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long OUTAGE_MILLIS = 4000;
  private static final int REQUESTS = 10;
  private static final int MIN_SERVED_REQUESTS = 9;

  private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
  private final List<Socket> idleClients = Collections.synchronizedList(new ArrayList<>());

  /** One proxy before one backend, with its discovery and its idle clients. */
  private final class Case {
    private final Arrival arrival;
    private final boolean isListKnown;
    private final int maxDescriptors;
    private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean isDiscoveryDown;
    private volatile boolean isOver;
    private volatile String endpointList;
    private int port;

    Case(Arrival arrival, boolean isListKnown, int maxDescriptors) {
      this.arrival = arrival;
      this.isListKnown = isListKnown;
      this.maxDescriptors = maxDescriptors;
    }

    @Override
    public String toString() {
      return arrival
          + " of "
          + maxDescriptors
          + (isListKnown ? ", after a list" : ", before a list");
    }

    private void serveWatch(Socket watch) throws IOException {
      head(watch.getInputStream());
      if (!isDiscoveryDown) {
        sendEndpointList(watch);
      }
      watches.add(watch); // else silent, as an agent is that learns nothing
    }

    private void sendEndpointList(Socket watch) throws IOException {
      send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      String line = endpointList + "\n";
      send(watch, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    void run() throws Exception {
      String entry = ready("s" + maxDescriptors);
      endpointList = told(1, true, entry);
      isDiscoveryDown = !isListKnown;
      ProxyServer proxy =
          new ProxyServer(
              new ProxyConfig(
                  Json.object(
                      config(open(this::serveWatch).getLocalPort(), maxDescriptors, "{}")
                          .replace(
                              "\"drain_ms\":1000", "\"drain_ms\":10,\"admin\":\"127.0.0.1:0\""))),
              "");
      Thread loop = start(proxy::run);
      port = proxy.port();
      if (isListKnown) {
        awaitKnown(proxy, 1, NOTIFICATION_TIMEOUT_MILLIS, "never served");
        isDiscoveryDown = true;
      }
      Thread connecting = start(this::connectIdleClients);
      Thread.sleep(OUTAGE_MILLIS);
      endpointList = told(2, true, entry, entry("other", "DRAINING", 1));
      isDiscoveryDown = false;
      awaitKnown(
          proxy,
          2,
          NOTIFICATION_TIMEOUT_MILLIS,
          "not told within " + NOTIFICATION_TIMEOUT_MILLIS + " ms");
      int servedRequests = 0;
      for (int i = 0; i < REQUESTS; i++) {
        String answer = sendRequest();
        servedRequests += answer.startsWith("200") ? 1 : 0;
        if (i == 0 && !answer.startsWith("200")) {
          faults.add(this + ": the first request got " + answer);
        }
      }
      if (servedRequests < MIN_SERVED_REQUESTS) {
        faults.add(this + ": " + servedRequests + " of " + REQUESTS + " served");
      }
      isOver = true;
      connecting.interrupt();
      proxy.shutdown();
      loop.join();
    }

    private String sendRequest() {
      try (Socket socket = new Socket()) {
        long startedAt = System.nanoTime();
        socket.connect(new InetSocketAddress("127.0.0.1", port), (int) REQUEST_TIMEOUT_MILLIS);
        socket.setSoTimeout((int) REQUEST_TIMEOUT_MILLIS);
        String answer = call(socket, request("buy"));
        long latency = (System.nanoTime() - startedAt) / 1_000_000;
        return latency <= REQUEST_TIMEOUT_MILLIS ? answer : "its answer after " + latency + " ms";
      } catch (IOException e) {
        return e.toString();
      }
    }

    private void awaitKnown(ProxyServer proxy, int known, long timeoutMillis, String fault)
        throws Exception {
      long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
      while (!metrics(proxy.adminPort()).contains("backends_known:" + known)) {
        if (System.nanoTime() > deadline) {
          faults.add(this + ": " + fault);
          return;
        }
        Thread.sleep(20);
      }
    }

    private void connectIdleClients() throws Exception {
      int clientCount =
          arrival == Arrival.WITH_PARTIAL_HEAD ? clientPlaces() * 3 / 2 : maxDescriptors * 3 / 2;
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; !isOver && i < clientCount; i++) {
        clients.add(connectIdleClient());
        if (arrival == Arrival.GRADUALLY) {
          Thread.sleep(OUTAGE_MILLIS / clientCount);
        }
      }
      while (!isOver && arrival != Arrival.GRADUALLY && arrival != Arrival.AT_ONCE) {
        for (int i = 0; i < clientCount; i++) {
          if (isClosed(clients.get(i))) {
            clients.get(i).close();
            clients.set(i, connectIdleClient());
          }
        }
        Thread.sleep(5);
      }
    }

    /**
     * Of clients, as docs/design.md has them; half a head holds one for 0.8 s where others wait.
     */
    private int clientPlaces() {
      return (int) (0.58 * (maxDescriptors - Math.max(32, maxDescriptors / 16) - 9));
    }

    private Socket connectIdleClient() throws IOException {
      Socket client = new Socket();
      idleClients.add(client);
      try {
        client.connect(new InetSocketAddress("127.0.0.1", port), 200);
        client.setSoTimeout(1);
        if (arrival == Arrival.WITH_PARTIAL_HEAD) {
          send(client, "GET /");
        }
      } catch (IOException e) {
        client.close(); // its queue is full, too: it comes again
      }
      return client;
    }

    private boolean isClosed(Socket client) {
      try {
        return client.isClosed()
            || client.getInputStream().available() > 0
            || client.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }
  }

  private static String metrics(int adminPort) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", adminPort)) {
      return call(socket, "GET /status/metrics HTTP/1.1\r\n\r\n");
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {64, 256, 1024})
  void listIsReadAndRequestsAreServed(int maxDescriptors) throws Exception {
    List<Thread> threads = new ArrayList<>();
    for (Arrival arrival :
        maxDescriptors < 1024
            ? Arrival.values()
            : new Arrival[] {Arrival.AT_ONCE, Arrival.RECONNECTING}) {
      for (boolean isListKnown : new boolean[] {false, true}) {
        Thread one =
            new Thread(
                () -> {
                  try {
                    new Case(arrival, isListKnown, maxDescriptors).run();
                  } catch (Exception e) {
                    faults.add(arrival + ": " + e);
                  }
                });
        one.start();
        threads.add(one);
      }
    }
    for (Thread one : threads) {
      one.join();
    }
    for (Socket one : List.copyOf(idleClients)) {
      one.close();
    }
    assertEquals(List.of(), faults);
  }
}
