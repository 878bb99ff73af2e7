package wheattrack.lab.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.Request;
import wheattrack.lab.model.ClientPopulation;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;

/** A proxy as a process of its own, and the clients' connections to it. */
final class ProxyProcess extends ProxyHandle {
  private static final List<String> LEAN =
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
  private static final long ASK_EVERY = 200;

  private final SocketRun stage;
  private final int port;
  private final Path jar, config;
  private final SocketRun.How how;
  private final BackendServer server;
  private final Deque<LoadConnection> idle = new ArrayDeque<>();
  private final Set<LoadConnection> callers = new LinkedHashSet<>();
  private Process process;
  private boolean up;
  private int life;
  private double skew;

  ProxyProcess(
      SocketRun stage, int place, int list, Path jar, SocketRun.How how, BackendServer server)
      throws IOException {
    super(place, stage.scenario.zones);
    this.stage = stage;
    this.jar = jar;
    this.how = how;
    this.server = server;
    try (ServerSocket free = new ServerSocket(0, 1, SocketRun.HOME)) {
      port = free.getLocalPort();
    }
    config = stage.folder.resolve("p" + place + ".json");
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("name", "p" + place);
    all.put("listen", "127.0.0.1:" + port);
    all.put("discovery", "127.0.0.1:" + list);
    all.put("seed", Long.toHexString(stage.draws("proxy" + place).seed()));
    all.put("limits", Map.of("sockets", 1024));
    all.put("settings", stage.scenario.settings(place));
    Files.writeString(config, new ObjectMapper().writeValueAsString(all));
  }

  /** Where clients connect. */
  InetSocketAddress address() {
    return new InetSocketAddress(SocketRun.HOME, how.direct() ? server.port(place) : port);
  }

  Path log() {
    return stage.folder.resolve("p" + place + ".log");
  }

  @Override
  public void start() {
    life++;
    if (how.direct()) {
      ready();
      return;
    }
    List<String> command = new ArrayList<>();
    if (how.cores() != null) {
      command.addAll(List.of("taskset", "-c", how.cores()));
    }
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(LEAN);
    command.addAll(how.options());
    if (skew != 0) {
      command.add("-Dwheattrack.skew=" + skew);
    }
    command.addAll(List.of("-jar", jar.toString(), "serve", "--config", config.toString()));
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectInput(new File("/dev/null"))
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    awaitReady(life);
  }

  private void ready() {
    up = true;
    stage.say(LedgerRecord.proxyChanged(stage.now(), place, true));
    stage.crowd().sees(this, true);
  }

  private void awaitReady(int lived) {
    if (lived != life) {
      return;
    }
    try {
      new ReadinessCheck(
              this,
              stage,
              ready -> {
                if (lived != life) {
                  return;
                }
                if (ready) {
                  ready();
                } else {
                  stage.after(ASK_EVERY, () -> awaitReady(lived));
                }
              })
          .open();
    } catch (IOException e) {
      stage.after(ASK_EVERY, () -> awaitReady(lived));
    }
  }

  @Override
  public void kill() {
    up = false;
    life++;
    stage.say(LedgerRecord.proxyChanged(stage.now(), place, false));
    process.destroyForcibly();
  }

  /** For the end of the run, however that comes: the process is gone when this returns. */
  void destroy() {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public boolean isUp() {
    return up;
  }

  @Override
  public int life() {
    return life;
  }

  @Override
  public void halt(boolean still) {
    try {
      new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void skew(double millis) {
    skew = millis;
  }

  // ---- reqs

  @Override
  public void take(ClientPopulation.Ask ask) {
    long work = Math.max(1, Math.round(ask.want().work()));
    stage.open.put(ask.req(), work);
    long timeout = ask.want().set().rules().clientTimeout();
    stage.after(timeout + 20_000, () -> stage.open.remove(ask.req()));
    Headers headers =
        new Headers()
            .with("Host", "lab")
            .with("Request-Id", Long.toHexString(ask.req()))
            .with("Request-Timeout", Double.toString(timeout / 10_000.0));
    if (ask.want().hint() > 0) {
      headers.with("Work-Hint", Long.toString(Math.max(1, Math.round(ask.want().hint() * 100))));
    }
    if (ask.again()) {
      headers.with("Client-Retry", "1");
    }
    Request request =
        new Request(
            "POST",
            "/" + ask.want().set().name(),
            headers,
            true,
            ("req " + ask.req()).getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    send(new Call(ask, Encoder.request(request), timeout));
  }

  /** One req on its way. */
  static final class Call {
    final ClientPopulation.Ask ask;
    final java.nio.ByteBuffer bytes;
    final long timeout;
    boolean taken;

    Call(ClientPopulation.Ask ask, java.nio.ByteBuffer bytes, long timeout) {
      this.ask = ask;
      this.bytes = bytes;
      this.timeout = timeout;
    }
  }

  void send(Call call) {
    LoadConnection free = idle.pollLast();
    if (free != null) {
      free.call(call, true);
      return;
    }
    try {
      stage.connected++;
      LoadConnection one =
          new LoadConnection(this, stage, AsynchronousSocketChannel.open(stage.group));
      callers.add(one);
      one.dial(call);
    } catch (IOException e) {
      stage.crowd().refused(call.ask);
    }
  }

  void free(LoadConnection caller) {
    idle.addLast(caller);
  }

  void closed(LoadConnection caller) {
    idle.remove(caller);
    callers.remove(caller);
  }

  @Override
  public void left(ClientPopulation.Ask ask) {
    List.copyOf(callers).stream().filter(c -> c.carries(ask)).forEach(LoadConnection::close);
  }

  /** What becomes of a connection that ended without an answer. */
  void broke(Call call) {
    if (call.taken) {
      stage.crowd().answers(call.ask, Answer.CONNECTION_LOST, 0);
    } else {
      stage.crowd().refused(call.ask);
    }
  }
}
