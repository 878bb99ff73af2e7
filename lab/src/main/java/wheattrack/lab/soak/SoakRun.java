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

/** Plays one seed, from the start of the proxy to its kill, and counts how all requests ended. */
final class SoakRun {
  /** The clients' timeout, which is the longest deadline of the run. */
  static final int REQUEST_TIMEOUT_MILLIS = 1000;

  /**
   * SIGKILL comes this long after SIGTERM at the earliest: "the longest deadline (3 s at most) and
   * 0.7 s more", PROTOCOL, "Figures"; the same after an upgrade (DAYS, "Replacing the process").
   */
  private static final int KILL_MILLIS = REQUEST_TIMEOUT_MILLIS + 700;

  /** New connections go on coming this long after SIGTERM (PROTOCOL, "Figures"). */
  private static final int NEW_CONNECTIONS_MILLIS = 400;

  /**
   * A client that has closed has gone; an attempt after 0.1 s, and 50 ms on sockets, is a break.
   */
  private static final long DEPARTURE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final int CLIENTS = 24;
  private static final int DESCRIPTORS = 256;
  private static final int UPGRADED_MILLIS = 700;
  private static final String NON_IDEMPOTENT_PREFIX = Integer.toHexString('p');

  /** A client's end and its line in the log are at most this far apart. */
  private static final long MAX_LOG_DISTANCE_MILLIS = 500;

  /** A client's end in the log: when, its port, the bytes received from it. */
  private static final Pattern CLOSED_LINE =
      Pattern.compile("(?m)^(\\S+) \\w+ client closed: \\S*:(\\d+), age \\d+ ms, (\\d+) bytes");

  /** A line of the log, by {@link #CLOSED_LINE}; the time in milliseconds since 1970. */
  private record ClosedClient(long time, int port, long bytes) {
    private static ClosedClient of(MatchResult line) {
      LocalDateTime time = LocalDateTime.parse(line.group(1));
      return new ClosedClient(
          time.atZone(ZoneId.systemDefault()).toInstant().toEpochMilli(),
          Integer.parseInt(line.group(2)),
          Long.parseLong(line.group(3)));
    }
  }

  /** What the proxy had said about the end of a connection before it came. */
  enum Ending {
    UNANNOUNCED,
    /** An answer said that the connection would be closed. */
    ANNOUNCED,
    /** The same, while further requests may already have been on their way. */
    ANNOUNCED_AMID_PIPELINE
  }

  /**
   * A request whose connection ended before its answer.
   *
   * @param port the client's
   * @param bytesBefore bytes that the client had sent before this request
   * @param kind of its client
   * @param endedAt when its client saw the end, milliseconds since 1970
   */
  record Unanswered(
      Phase phase,
      Position position,
      int port,
      long bytesBefore,
      Ending ending,
      SoakPlan.ClientKind kind,
      long endedAt) {

    /** How it ended, given whether the proxy had read bytes of it. */
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
  private final ConcurrentLinkedQueue<Integer> keptPorts = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> departures = new ConcurrentHashMap<>();
  private final List<SoakProcess> processes = new ArrayList<>();
  private final int port;

  /** When the first SIGTERM was sent, by System.nanoTime; 0: not yet. */
  private volatile long terminatedAt;

  private volatile boolean isOver;

  /**
   * Sets up a run.
   *
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

  /** Whether clients still open connections: always before SIGTERM and while a newer process is. */
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

  /** Notes that the client at this port stopped amid a message and was kept for too long. */
  void addKeptPort(int clientPort) {
    keptPorts.add(clientPort);
  }

  /** Notes that the client of a request has closed its connection at this time. */
  void addDeparture(String id, long nanoTime) {
    departures.put(id, nanoTime);
  }

  /** Plays the plan, and returns what was counted. */
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
      judgeLogs();
      judgeAttempts(backends.attempts());
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
        Thread.sleep(UPGRADED_MILLIS);
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
    for (int i = 0; i < CLIENTS; i++) {
      SoakClient client = new SoakClient(this, i);
      threads.add(SoakThreads.start(client::use));
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
    String[] effects = {"look", "read_like", "mark", "idempotency_key", "pay", "non_idempotent"};
    for (int i = 0; i < effects.length; i += 2) {
      classes
          .append(i == 0 ? "" : ",")
          .append("{'name':'" + effects[i] + "','effect':'" + effects[i + 1])
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
            + DESCRIPTORS
            + "},'settings':{'zones':['a'],'limits':{'maxDispatches':3,'mayCancel':true,"
            + "'retryAfter':true,'maxRetryAfter':2000000,'dialTimeout':250000,"
            + "'idleClose':30000000},'rules':{'askEvery':1000000},'ruleSets':["
            + classes
            + "]}}";
    Files.writeString(directory.resolve("config.json"), config.replace('\'', '"'));
    Files.writeString(directory.resolve("operator.toml"), "[log]\nreqs = true\n");
  }

  private void judgeLogs() throws IOException {
    List<ClosedClient> closed = new ArrayList<>();
    for (SoakProcess process : processes) {
      String text = process.logText();
      counts.count(Event.READ_DROPPED, occurrences(text, "client closed unanswered"));
      counts.count(Event.STEP_FAILED, occurrences(text, "a step failed"));
      counts.count(Event.PAST_DUE, occurrences(text, "past its due"));
      for (int keptPort : keptPorts) {
        printLinesOf(keptPort, text);
      }
      CLOSED_LINE.matcher(text).results().map(ClosedClient::of).forEach(closed::add);
    }
    Map<Integer, List<ClosedClient>> closedByPort =
        closed.stream().collect(Collectors.groupingBy(ClosedClient::port));
    for (Unanswered request : unanswered) {
      judge(request, closedByPort.getOrDefault(request.port, List.of()));
    }
  }

  /** Shows what the proxy logged about a client that was kept for too long, and its phases. */
  private static void printLinesOf(int clientPort, String log) {
    System.out.println("  kept: port " + clientPort);
    log.lines()
        .filter(line -> line.contains(":" + clientPort + ",") || line.contains(" phase "))
        .forEach(line -> System.out.println("    " + line));
  }

  private static int occurrences(String text, String part) {
    return text.split(Pattern.quote(part), -1).length - 1;
  }

  /** Ports are used again: the connection is the one whose close was logged nearest in time. */
  private void judge(Unanswered request, List<ClosedClient> closedAtPort) {
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

  private void judgeAttempts(Map<String, List<Long>> attempts) {
    attempts.forEach(
        (id, times) -> {
          if (id.startsWith(NON_IDEMPOTENT_PREFIX) && times.size() > 1) {
            counts.count(Event.RUN_TWICE, 1);
          }
          Long departure = departures.get(id);
          if (departure != null
              && times.stream().anyMatch(time -> time - departure > DEPARTURE_NANOS)) {
            counts.count(Event.SENT_AFTER_CLIENT_LEFT, 1);
          }
        });
  }
}
