package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static wheattrack.net.RawHttp.request;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A new configuration moves discovery to a source that is behind the one before. Guards against
 * requests to a backend that the proxy knows to drain or to be gone, which its end cuts off.
 */
class DiscoveryMoveTest extends ProxyTestHarness {
  private static final int LIST_CHANGE_MILLIS = 200;
  private static final int REQUESTS = 12;

  @TempDir Path folder;

  private final EndpointListServer laterList = new EndpointListServer(observations);
  private String[] endpoints;

  @BeforeEach
  void startProxyWithTwoBackends() throws Exception {
    endpoints = startBackends(2);
    endpointList.send(listLine(4, true, endpoints));
    startProxy(MAX_SOCKETS, "{}");
  }

  /** Replaces the configuration by one that names another discovery service. */
  private void moveDiscovery() throws Exception {
    ServerSocket listener = listen(laterList::serve);
    Path file = folder.resolve("proxy.json");
    Files.writeString(file, config(listener.getLocalPort()));
    server.reload(file);
  }

  private void sendAndWait(EndpointListServer source, String line) throws Exception {
    source.send(line);
    Thread.sleep(LIST_CHANGE_MILLIS);
  }

  /** The backends that answer some requests. */
  private Set<String> servingBackends() throws IOException {
    Set<String> names = new TreeSet<>();
    for (int i = 0; i < REQUESTS; i++) {
      names.add(call(request("buy")).replaceAll("200 |, .*", ""));
    }
    return names;
  }

  private String draining(int backend) {
    return endpoints[backend].replace("SERVING", "DRAINING");
  }

  @Test
  void drainingBackendGetsNothingFromASourceThatIsBehind() throws Exception {
    sendAndWait(endpointList, listLine(5, false, draining(0)));
    assertEquals(Set.of("s1"), servingBackends());
    moveDiscovery();
    sendAndWait(laterList, listLine(4, true, endpoints));
    assertEquals(Set.of("s1"), servingBackends());
    sendAndWait(laterList, listLine(5, false, draining(0)));
    assertEquals(Set.of("s1"), servingBackends());
    sendAndWait(laterList, listLine(6, false, endpoints[0]));
    assertEquals(Set.of("s0", "s1"), servingBackends());
  }

  @Test
  void removedBackendGetsNothingFromASourceThatIsBehind() throws Exception {
    sendAndWait(endpointList, listLine(5, false, endpoints[0].replace("SERVING", "DELETED")));
    moveDiscovery();
    sendAndWait(laterList, listLine(4, true, endpoints));
    assertEquals(Set.of("s1"), servingBackends());
  }

  /** An older complete list at one address, after a break of the watch, and once more. */
  @Test
  void drainingBackendGetsNothingAfterTwoOlderLists() throws Exception {
    sendAndWait(endpointList, listLine(5, false, draining(0)));
    for (int i = 0; i < 2; i++) {
      sendAndWait(endpointList, listLine(4, true, endpoints));
      assertEquals(Set.of("s1"), servingBackends());
    }
  }
}
