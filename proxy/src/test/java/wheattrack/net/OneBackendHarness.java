package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;

/**
 * A harness for pairs of concurrent events: the event loop, or a backend, is paused until the other
 * event has happened. The proxy has one backend, s0.
 */
abstract class OneBackendHarness extends ManualBackendHarness {
  @TempDir Path folder;

  /** Where the backend s0 listens. */
  ServerSocket firstListener;

  /** Another address for a backend, which is not in the endpoint list at first. */
  ServerSocket secondListener;

  String config;

  /**
   * Starts a proxy with one backend, s0.
   *
   * @param changes pairs of a text in the configuration and its replacement
   */
  void startProxyWithOneBackend(String... changes) throws Exception {
    firstListener = listenWithoutAccepting(BACKLOG);
    secondListener = listenWithoutAccepting(BACKLOG);
    config = configWithEndpoints(endpoint("s0", "SERVING", firstListener.getLocalPort()));
    for (int i = 0; i < changes.length; i += 2) {
      assertTrue(config.contains(changes[i]), "not in the configuration: " + changes[i]);
      config = config.replace(changes[i], changes[i + 1]);
    }
    startProxy(config, "");
  }

  /**
   * Starts a proxy with one backend, s0, whose accept queue is full: each attempt waits for its
   * connection until the test accepts.
   */
  void startProxyWithFullAcceptQueue() throws Exception {
    firstListener = listenWithoutAccepting(1);
    secondListener = listenWithoutAccepting(BACKLOG);
    config =
        configWithEndpoints(endpoint("s0", "SERVING", firstListener.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000");
    startProxy(config, "");
    fillAcceptQueue(firstListener);
  }

  /** Reloads the proxy with this configuration, and pauses the event loop during the reload. */
  LoopPause pauseLoopInReload(String text) throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    LoopPause pause = pauseLoopAt("configuration read again");
    server.reload(file);
    pause.awaitReached();
    return pause;
  }
}
