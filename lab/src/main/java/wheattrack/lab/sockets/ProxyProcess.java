package wheattrack.lab.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.lab.model.ClientRequest;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.process.Processes;
import wheattrack.lab.scenario.ProxySettings;

/**
 * A proxy as a separate process. Times are tenths of a millisecond. Runs on the run's thread only.
 */
final class ProxyProcess extends ProxyHandle {
  /** Options that limit the memory of a proxy's JVM, so that many of them run on one machine. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xms48m",
          "-Xmx72m",
          "-Xss512k",
          "-XX:MaxMetaspaceSize=40m",
          "-XX:ReservedCodeCacheSize=32m",
          "-XX:MaxDirectMemorySize=16m",
          "-XX:TieredStopAtLevel=1",
          "-XX:+UseSerialGC",
          "-XX:-UsePerfData");

  /** Time between two readiness checks. */
  private static final long READINESS_INTERVAL = 200;

  /** The proxy's limit of open sockets. */
  private static final int MAX_SOCKETS = 1024;

  /** How long after a client's timeout the work of its request is remembered. */
  private static final long REQUEST_RETENTION = 20_000;

  private final SocketRun run;
  private final Path jar;
  private final Path configFile;
  private final SocketRun.ProxyOptions options;
  private final LoadConnectionPool clientConnections;
  private Process process;
  private double clockSkewMillis;

  /**
   * Writes the configuration file of the proxy; {@link #start} starts the process.
   *
   * @param discoveryPort the port on which it watches the endpoint list
   * @param directBackend the backend to which clients connect if the run is without proxies
   */
  ProxyProcess(
      SocketRun run,
      int index,
      int discoveryPort,
      Path jar,
      SocketRun.ProxyOptions options,
      BackendServer directBackend)
      throws IOException {
    super(run, index);
    this.run = run;
    this.jar = jar;
    this.options = options;
    int port = freePort();
    int clientPort = options.direct() ? directBackend.port(index) : port;
    clientConnections =
        new LoadConnectionPool(run, this, new InetSocketAddress(SocketRun.LOOPBACK, clientPort));
    configFile = run.directory().resolve("p" + index + ".json");
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("name", "p" + index);
    configuration.put("listen", "127.0.0.1:" + port);
    configuration.put("discovery", "127.0.0.1:" + discoveryPort);
    configuration.put("seed", Long.toHexString(run.randomStream("proxy" + index).nextSeed()));
    configuration.put("limits", Map.of("sockets", MAX_SOCKETS));
    configuration.put("settings", ProxySettings.of(run.scenario(), index));
    Files.writeString(configFile, new ObjectMapper().writeValueAsString(configuration));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, SocketRun.LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  /** The log file of the process. */
  Path log() {
    return run.directory().resolve("p" + index() + ".log");
  }

  @Override
  public void start() {
    beginIncarnation();
    if (options.direct()) {
      ready();
      return;
    }
    try {
      process =
          new ProcessBuilder(command())
              .redirectErrorStream(true)
              .redirectInput(new File("/dev/null"))
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    checkReadiness();
  }

  private List<String> command() {
    List<String> command = new ArrayList<>();
    if (options.cores() != null) {
      command.addAll(List.of("taskset", "-c", options.cores()));
    }
    command.add(Processes.javaCommand());
    command.addAll(JVM_OPTIONS);
    command.addAll(options.jvmOptions());
    if (clockSkewMillis != 0) {
      command.add("-Dwheattrack.skew=" + clockSkewMillis);
    }
    command.addAll(List.of("-jar", jar.toString(), "serve", "--config", configFile.toString()));
    return command;
  }

  private void ready() {
    markUp();
    run.clients().setProxyAvailable(this, true);
  }

  /** Checks repeatedly whether the process is ready, until it is or was killed. */
  private void checkReadiness() {
    int checkedIncarnation = incarnation();
    try {
      new ReadinessCheck(
              run,
              clientConnections.address(),
              isReady -> {
                if (checkedIncarnation != incarnation()) {
                  return;
                }
                if (isReady) {
                  ready();
                } else {
                  scheduleInIncarnation(READINESS_INTERVAL, this::checkReadiness);
                }
              })
          .start();
    } catch (IOException e) {
      scheduleInIncarnation(READINESS_INTERVAL, this::checkReadiness);
    }
  }

  @Override
  protected void stopProcess() {
    process.destroyForcibly();
  }

  /** Kills the process and waits for its exit. May be called by any thread. */
  void destroy() {
    if (process != null) {
      Processes.killAndWait(process);
    }
  }

  @Override
  public void setPaused(boolean paused) {
    String signal = paused ? "-STOP" : "-CONT";
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void setClockSkew(double millis) {
    clockSkewMillis = millis;
  }

  @Override
  public void submit(ClientRequest request) {
    EncodedRequest encoded = new EncodedRequest(request);
    long requestId = request.requestId();
    run.expectRequest(requestId, Math.max(1, Math.round(request.plan().work())));
    run.schedule(encoded.timeout() + REQUEST_RETENTION, () -> run.forgetRequest(requestId));
    clientConnections.send(encoded);
  }

  @Override
  public void clientDisconnected(ClientRequest request) {
    clientConnections.disconnect(request);
  }
}
