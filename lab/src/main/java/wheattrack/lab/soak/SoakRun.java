package wheattrack.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import wheattrack.lab.process.TemporaryDirectory;
import wheattrack.lab.soak.SoakCounts.Event;
import wheattrack.lab.soak.SoakCounts.Outcome;
import wheattrack.lab.soak.SoakCounts.Phase;
import wheattrack.lab.soak.SoakCounts.Position;
import wheattrack.lab.soak.SoakPlan.BackendTrouble;
import wheattrack.lab.soak.SoakPlan.Crowd;

/** Plays one plan, from the start of the proxy to its kill, and counts how all requests ended. */
final class SoakRun {
  /** The timeout of each request, which is the longest deadline of the run. */
  static final int REQUEST_TIMEOUT_MILLIS = 1000;

  /**
   * SIGKILL is sent this long after SIGTERM at the earliest: "the longest deadline (3 s at most)
   * and 0.7 s more", PROTOCOL, "Figures"; the same after an upgrade (DAYS, "Replacing the
   * process").
   */
  private static final int KILL_MILLIS = REQUEST_TIMEOUT_MILLIS + 700;

  /** Clients open new connections until this long after SIGTERM (PROTOCOL, "Figures"). */
  private static final int NEW_CONNECTIONS_MILLIS = 400;

  /**
   * An attempt that a backend receives later than this after its client has closed the connection
   * breaks a rule: 0.1 s is allowed, and 50 ms more for the delay of sockets.
   */
  private static final long MAX_ATTEMPT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final int CLIENT_COUNT = 24;
  private static final int SOCKET_LIMIT = 256;

  /** How long the newer process is still used after the older one was killed. */
  private static final int AFTER_UPGRADE_MILLIS = 700;

  /** Prefix of the ids of requests of the class {@code pay}. */
  private static final String NON_IDEMPOTENT_PREFIX = Integer.toHexString('p');

  /**
   * The greatest difference between a client's time of a close and that of the proxy's log line.
   */
  private static final long MAX_LOG_DISTANCE_MILLIS = 500;

  /** The log line of a closed client connection: time, client's port, bytes received from it. */
  private static final Pattern CLOSED_LINE =
      Pattern.compile("(?m)^(\\S+) \\w+ client closed: \\S*:(\\d+), age \\d+ ms, (\\d+) bytes");

  /** A log line that matches {@link #CLOSED_LINE}; the time in milliseconds since 1970. */
  private record ClosedClient(long time, int port, long bytes) {
    private static ClosedClient of(MatchResult line) {
      LocalDateTime time = LocalDateTime.parse(line.group(1));
      return new ClosedClient(
          time.atZone(ZoneId.systemDefault()).toInstant().toEpochMilli(),
          Integer.parseInt(line.group(2)),
          Long.parseLong(line.group(3)));
    }
  }

  /** Whether the proxy had announced the close of a connection. */
  enum Ending {
    /** No answer said that the connection would be closed. */
    UNANNOUNCED,
    /** An answer said that the connection would be closed. */
    ANNOUNCED,
    /** An answer said so, when the client may already have sent further requests. */
    ANNOUNCED_AMID_PIPELINE
  }

  /**
   * A request whose connection was closed before its answer.
   *
   * @param port the client's port
   * @param bytesBefore bytes that the client had sent on the connection before this request
   * @param kind kind of its client
   * @param endedAt when its client detected the close, milliseconds since 1970
   */
  record Unanswered(
      Phase phase,
      Position position,
      int port,
      long bytesBefore,
      Ending ending,
      SoakPlan.ClientKind kind,
      long endedAt) {

    /** The outcome, given whether the proxy had read bytes of the request. */
    private Outcome outcome(boolean wasRead) {
      if (wasRead && ending != Ending.ANNOUNCED_AMID_PIPELINE) {
        return Outcome.CLOSED_AFTER_READING;
      }
      return ending == Ending.UNANNOUNCED ? Outcome.CLOSED_UNREAD : Outcome.CLOSED_AS_SAID;
    }
  }

  private final SoakPlan plan;
  private final Path home;
  private final Path jar;
  private final SoakCounts counts = new SoakCounts();
  private final ConcurrentLinkedQueue<Unanswered> unanswered = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Integer> overdueStoppedPorts = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> disconnections = new ConcurrentHashMap<>();
  private final List<SoakProcess> processes = new ArrayList<>();
  private final int port;

  /** When the first SIGTERM was sent, by {@link System#nanoTime}; 0 before. */
  private volatile long terminatedAt;

  private volatile boolean isOver;

  /**
   * Sets up a run.
   *
   * @param plan what to play
   * @param home the repository's folder, whose deploy file names the proxy's command
   * @param jar the proxy's program
   */
  SoakRun(SoakPlan plan, Path home, Path jar) throws IOException {
    this.plan = plan;
    this.home = home;
    this.jar = jar;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
  }

  SoakPlan plan() {
    return plan;
  }

  SoakCounts counts() {
    return counts;
  }

  int port() {
    return port;
  }

  Phase phase() {
    return terminatedAt == 0 ? Phase.SERVING : Phase.LEAVING;
  }

  boolean isOver() {
    return isOver;
  }

  /**
   * Whether clients still open connections: until the run is over, but without an upgrade only
   * until {@link #NEW_CONNECTIONS_MILLIS} after SIGTERM.
   */
  boolean mayConnect() {
    long terminated = terminatedAt;
    return !isOver
        && (terminated == 0
            || plan.isUpgrade()
            || System.nanoTime() - terminated
                < TimeUnit.MILLISECONDS.toNanos(NEW_CONNECTIONS_MILLIS));
  }

  void addUnanswered(Unanswered request) {
    unanswered.add(request);
  }

  /**
   * Records that the client at this port stopped amid a message and got neither an answer nor a
   * closed connection in time.
   */
  void addOverdueStoppedClient(int clientPort) {
    overdueStoppedPorts.add(clientPort);
  }

  /** Records when the client of a request closed its connection, by {@link System#nanoTime}. */
  void addDisconnection(String id, long nanoTime) {
    disconnections.put(id, nanoTime);
  }

  /** Plays the plan and returns the counts. */
  SoakCounts play() throws IOException, InterruptedException {
    try (TemporaryDirectory directory = new TemporaryDirectory("wheattrack-soak");
        SoakBackends backends = new SoakBackends()) {
      writeFiles(directory.path(), backends.discoveryPort());
      try {
        play(directory.path(), backends);
      } finally {
        isOver = true;
        for (SoakProcess process : processes) {
          process.kill();
        }
      }
      evaluateLogs();
      checkAttempts(backends.attempts());
      return counts;
    }
  }

  private void play(Path directory, SoakBackends backends)
      throws IOException, InterruptedException {
    if (!startProcess(directory, "first")) {
      return;
    }
    List<Thread> clients = startClients();
    try (SoakCrowd crowd = new SoakCrowd(port, plan.crowd() == Crowd.HALF_HEAD)) {
      crowd.start(plan.crowdSize());
      long startedAt = System.nanoTime();
      sendHangups(directory, startedAt);
      sleepUntil(startedAt, plan.terminateAt());
      if (plan.isUpgrade() && !startProcess(directory, "second")) {
        return;
      }
      SoakProcess first = processes.get(0);
      if (!first.isAlive()) {
        counts.count(Event.CRASHED, 1);
      }
      terminate(first, backends);
      sleepUntil(terminatedAt, KILL_MILLIS);
      counts.count(Event.ALIVE_AT_KILL, first.isAlive() ? 1 : 0);
      first.kill();
      if (plan.isUpgrade()) {
        Thread.sleep(AFTER_UPGRADE_MILLIS);
        counts.count(Event.CRASHED, processes.get(1).isAlive() ? 0 : 1);
      }
      isOver = true;
      for (Thread client : clients) {
        client.join(2L * REQUEST_TIMEOUT_MILLIS);
      }
    }
  }

  private boolean startProcess(Path directory, String name)
      throws IOException, InterruptedException {
    SoakProcess process = new SoakProcess(home, jar, directory, name);
    processes.add(process);
    boolean isReady = process.awaitReady();
    counts.count(Event.CRASHED, isReady ? 0 : 1);
    return isReady;
  }

  private List<Thread> startClients() {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      SoakClient client = new SoakClient(this, i);
      threads.add(SoakThreads.start(client::useConnections));
    }
    return threads;
  }

  private void sendHangups(Path directory, long startedAt)
      throws IOException, InterruptedException {
    Path file = directory.resolve("config.json");
    String config = Files.readString(file);
    for (int i = 0; i < plan.hangups().size(); i++) {
      sleepUntil(startedAt, plan.hangups().get(i));
      boolean isBroken = i < plan.brokenHangups();
      Files.writeString(file, isBroken ? config.substring(0, config.length() / 2) : config);
      processes.get(0).signal("HUP");
    }
    Files.writeString(file, config);
  }

  private void terminate(SoakProcess process, SoakBackends backends)
      throws IOException, InterruptedException {
    if (plan.backendTrouble() == BackendTrouble.HANGS) {
      backends.hangFirst();
    } else if (plan.backendTrouble() == BackendTrouble.DRAINS) {
      backends.drainFirst();
    }
    terminatedAt = System.nanoTime();
    process.signal("TERM");
    if (plan.hangupAfterTermination() >= 0) {
      sleepUntil(terminatedAt, plan.hangupAfterTermination());
      process.signal("HUP");
    }
    for (int after : plan.furtherTerminations()) {
      sleepUntil(terminatedAt, after);
      process.signal("TERM");
    }
  }

  private static void sleepUntil(long origin, int millis) throws InterruptedException {
    long nanos = origin + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime();
    TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos));
  }

  private void writeFiles(Path directory, int discoveryPort) throws IOException {
    StringBuilder classes = new StringBuilder();
    String[] namesAndEffects = {
      "look", "read_like", "mark", "idempotency_key", "pay", "non_idempotent"
    };
    for (int i = 0; i < namesAndEffects.length; i += 2) {
      classes
          .append(i == 0 ? "" : ",")
          .append("{'name':'" + namesAndEffects[i] + "','effect':'" + namesAndEffects[i + 1])
          .append("','group':'all','window':5000000,'responseTarget':500000,'clientTimeout':")
          .append(TimeUnit.MILLISECONDS.toMicros(REQUEST_TIMEOUT_MILLIS) + "}");
    }
    String config =
        "{'name':'soak','listen':'127.0.0.1:"
            + port
            + "','discovery':'127.0.0.1:"
            + discoveryPort
            + "','seed':'"
            + Long.toHexString(plan.seed())
            + "','limits':{'sockets':"
            + SOCKET_LIMIT
            + "},'settings':{'zones':['a'],'limits':{'maxDispatches':3,'mayCancel':true,"
            + "'retryAfter':true,'maxRetryAfter':2000000,'dialTimeout':250000,"
            + "'idleClose':30000000},'rules':{'askEvery':1000000},'ruleSets':["
            + classes
            + "]}}";
    Files.writeString(directory.resolve("config.json"), config.replace('\'', '"'));
    Files.writeString(directory.resolve("operator.toml"), "[log]\nreqs = true\n");
  }

  private void evaluateLogs() throws IOException {
    List<ClosedClient> closed = new ArrayList<>();
    for (SoakProcess process : processes) {
      String text = process.logText();
      counts.count(Event.READ_DROPPED, occurrences(text, "client closed unanswered"));
      counts.count(Event.STEP_FAILED, occurrences(text, "a step failed"));
      counts.count(Event.PAST_DUE, occurrences(text, "past its due"));
      for (int clientPort : overdueStoppedPorts) {
        printLinesOf(clientPort, text);
      }
      CLOSED_LINE.matcher(text).results().map(ClosedClient::of).forEach(closed::add);
    }
    Map<Integer, List<ClosedClient>> closedByPort =
        closed.stream().collect(Collectors.groupingBy(ClosedClient::port));
    for (Unanswered request : unanswered) {
      countUnanswered(request, closedByPort.getOrDefault(request.port, List.of()));
    }
  }

  /**
   * Prints the log lines of a client that was closed too late, and those of the process's phases.
   */
  private static void printLinesOf(int clientPort, String log) {
    System.out.println("  connection not closed in time: port " + clientPort);
    log.lines()
        .filter(line -> line.contains(":" + clientPort + ",") || line.contains(" phase "))
        .forEach(line -> System.out.println("    " + line));
  }

  private static int occurrences(String text, String part) {
    return text.split(Pattern.quote(part), -1).length - 1;
  }

  /**
   * Counts the outcome of an unanswered request by how many bytes the proxy read on its connection.
   * As ports are reused, the connection is the one whose logged close is nearest in time.
   */
  private void countUnanswered(Unanswered request, List<ClosedClient> closedAtPort) {
    long received =
        closedAtPort.stream()
            .filter(client -> Math.abs(client.time - request.endedAt) < MAX_LOG_DISTANCE_MILLIS)
            .min(Comparator.comparingLong(client -> Math.abs(client.time - request.endedAt)))
            .map(ClosedClient::bytes)
            .orElse(0L);
    Outcome outcome = request.outcome(received > request.bytesBefore);
    counts.count(request.phase, request.position, outcome);
    if (outcome == Outcome.CLOSED_AFTER_READING) {
      System.out.println("  read and not answered: " + request + ", bytes read: " + received);
    }
  }

  private void checkAttempts(Map<String, List<Long>> attempts) {
    attempts.forEach(
        (id, times) -> {
          if (id.startsWith(NON_IDEMPOTENT_PREFIX) && times.size() > 1) {
            counts.count(Event.RUN_TWICE, 1);
          }
          Long disconnectedAt = disconnections.get(id);
          if (disconnectedAt != null
              && times.stream().anyMatch(time -> time - disconnectedAt > MAX_ATTEMPT_DELAY_NANOS)) {
            counts.count(Event.SENT_AFTER_CLIENT_LEFT, 1);
          }
        });
  }
}
