package wheattrack.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import wheattrack.lab.scale.ProcessGroup.Hollows;

/**
 * What is measured along each axis; one point at a time, its processes ended before the next
 * begins.
 */
final class ScaleAxes implements AutoCloseable {
  /** A point is measured into its row. */
  interface Point {
    void measure(int point, Map<String, Double> row) throws Exception;
  }

  /** One axis with the points that a full run has. */
  record Axis(String name, String unit, int[] points, int least, int most, Point how) {}

  private static final int EACH = 600,
      FEW = 8,
      CHANGES = 200,
      STEADY = 3,
      USUAL = 1000,
      SMALL = 200;
  private static final int SCOPE = 146; // rule sets of 18 services, docs/CAPACITY.md
  private static final int WARM = 200, MOST_TOLD = 30_000; // changes to warm up; told in a second
  private static final long LIST_MILLIS = 12_000, DOWN_MILLIS = 6_000, READY_MILLIS = 45_000;
  private static final double MS = 1e6;

  private final ProcessGroup processes;
  private final Path home, folder;
  private final String run;
  private final long seed;
  private final boolean tellsWhole, witnesses;
  private final ServerSocket backend;
  private int configs;

  /**
   * run: the operators' line that starts a real proxy. tellsWhole: the twin that tells a change
   * whole. witnesses: real ones stand beside; without them times say little, and little time is
   * given to them.
   */
  ScaleAxes(
      ProcessGroup processes,
      Path home,
      Path folder,
      String run,
      long seed,
      boolean tellsWhole,
      boolean witnesses)
      throws IOException {
    this.processes = processes;
    this.home = home;
    this.folder = folder;
    this.run = run;
    this.seed = seed;
    this.tellsWhole = tellsWhole;
    this.witnesses = witnesses;
    backend = new ServerSocket();
    backend.bind(new InetSocketAddress("127.0.9.1", 0), 256);
    daemon(
        () -> {
          while (true) {
            Socket one = backend.accept();
            daemon(() -> serve(one));
          }
        });
  }

  List<Axis> all() {
    return List.of(
        new Axis(
            "backends",
            "backends known to each",
            new int[] {50, 200, 500, 1000, 5000, 50_000, 200_000},
            1,
            200_000,
            this::backends),
        new Axis(
            "changes",
            "changes a second, " + USUAL + " backends",
            new int[] {10, 50, 100, 200, 400},
            1,
            2000,
            this::changes),
        new Axis(
            "watchers",
            "hollow proxies at one source, " + SMALL + " backends",
            new int[] {100, 500, 1500, 4700},
            1,
            4700,
            this::watchers),
        new Axis(
            "rule-sets",
            "rule sets",
            new int[] {100, 1000, 10_000, 43_000},
            1,
            43_000,
            (n, row) -> settings(n, 0, row)),
        new Axis(
            "tenants",
            "tenants beside 100 rule sets",
            new int[] {1000, 10_000, 100_000, 430_000},
            1,
            430_000,
            (n, row) -> settings(100, n, row)),
        new Axis(
            "scope",
            "rule sets in scope, ten tenants each, told by a watched source",
            new int[] {20, 146, 1000, 5000},
            1,
            5000,
            (n, row) -> scope(n, FEW, row)),
        new Axis(
            "scope-watchers",
            "hollow proxies that watch " + SCOPE + " rule sets at one source",
            new int[] {100, 500, 1500, 4700},
            1,
            4700,
            (n, row) -> scope(SCOPE, n, row)),
        new Axis(
            "outage",
            "hollow proxies that lose one source for 6 s",
            new int[] {100, 500, 1500, 4700},
            1,
            4700,
            (n, row) -> outage(n, false, row)),
        new Axis(
            "scope-outage",
            "hollow proxies that lose their source of settings for 6 s",
            new int[] {100, 500, 1500, 4700},
            1,
            4700,
            (n, row) -> outage(n, true, row)),
        new Axis(
            "restart",
            "real proxies started at once",
            new int[] {1, 10, 30, 147},
            1,
            180,
            this::restart));
  }

  // ---- the axes

  private void backends(int n, Map<String, Double> row) throws Exception {
    int hollow = n > USUAL ? 1 : FEW;
    try (SourceServer source = source(n);
        Witness witness = witness(source, 100, 0)) {
      long calls = source.sent();
      Fleet fleet = new Fleet(hollow, config(source.at(), null, 100, 0));
      double listed = fleet.awaitListed(LIST_MILLIS);
      row.put("list_ms", listed);
      row.put("known", fleet.known());
      row.put("list_kb", (source.sent() - calls) / 1024.0 / hollow);
      row.put("asked_bytes", source.came() / (double) (hollow + (witness == null ? 0 : 1)));
      row.put("heap_kb", fleet.heapEach());
      if (witness != null) {
        row.put("w_ready_ms", witness.readyMillis);
        row.put("w_known", witness.figure("backends_known"));
        row.put("w_start_cpu_ms", ProcessGroup.cpu(witness.process) / MS);
        row.put("w_rss_mb", ProcessGroup.memory(witness.process, "VmHWM") / 1024.0);
        row.put("w_rest_mb", ProcessGroup.memory(witness.process, "VmRSS") / 1024.0);
      }
      if (Double.isFinite(listed)) {
        steady(source, fleet, witness, n, CHANGES, 100, row);
      }
      fleet.end();
    }
  }

  private void changes(int aSecond, Map<String, Double> row) throws Exception {
    try (SourceServer source = source(USUAL);
        Witness witness = witness(source, 100, 0)) {
      Fleet fleet = new Fleet(FEW, config(source.at(), null, 100, 0));
      fleet.awaitListed(LIST_MILLIS);
      steady(source, fleet, witness, USUAL, STEADY * aSecond, aSecond, row);
      fleet.end();
    }
  }

  private void watchers(int n, Map<String, Double> row) throws Exception {
    try (SourceServer source = source(SMALL);
        Witness witness = witness(source, 100, 0)) {
      Fleet fleet = new Fleet(n, config(source.at(), null, 100, 0));
      row.put("list_ms", fleet.awaitListed(4 * LIST_MILLIS));
      row.put("processes", (double) fleet.parts.size());
      steady(source, fleet, witness, SMALL, 20, 5, row);
      fleet.end();
    }
  }

  /**
   * Changes at an even pace: their cost beyond rest, when they are in force, what requests wait
   * more.
   */
  private void steady(
      SourceServer source,
      Fleet fleet,
      Witness witness,
      int backends,
      int count,
      int aSecond,
      Map<String, Double> row)
      throws Exception {
    int warm = Math.min(WARM, Math.max(aSecond, MOST_TOLD / fleet.size));
    if (witnesses) { // compiled code, as in a proxy that has run for a while
      change(source, backends, warm, warm);
      Thread.sleep(500);
    }
    long idle = fleet.cpu(), idleWitness = witness == null ? 0 : ProcessGroup.cpu(witness.process);
    long from = System.nanoTime();
    Thread.sleep(witnesses ? 2000 : 100);
    double rest = (fleet.cpu() - idle) / (double) (System.nanoTime() - from);
    double restWitness =
        witness == null
            ? 0
            : (ProcessGroup.cpu(witness.process) - idleWitness)
                / (double) (System.nanoTime() - from);
    fleet.ask("forget");
    long cpu = fleet.cpu(), cpuWitness = witness == null ? 0 : ProcessGroup.cpu(witness.process);
    long bytes = source.sent(), start = System.nanoTime();
    long[] at = change(source, backends, count, aSecond);
    Thread.sleep(800);
    processes.check();
    double time = System.nanoTime() - start;
    double told = fleet.size + (witness == null ? 0 : 1);
    row.put("change_bytes", (source.sent() - bytes) / told / count);
    row.put("idle_us_s", rest * 1e6 / fleet.size);
    row.put("change_us", (fleet.cpu() - cpu - rest * time) / 1e3 / fleet.size / count);
    fleet.force(at, source, row);
    if (witness != null && Double.isFinite(witness.readyMillis)) {
      row.put("w_idle_us_s", restWitness * 1e6);
      double spent = ProcessGroup.cpu(witness.process) - cpuWitness - restWitness * time;
      row.put("w_change_us", spent / 1e3 / count);
      new Caller(witness.at).endAfter(1000);
      row.put("w_p99_ms", new Caller(witness.at).endAfter(2000));
      Caller caller = new Caller(witness.at);
      change(source, backends, 2 * aSecond, aSecond);
      row.put("w_p99_beside_ms", caller.endAfter(0));
    }
  }

  /** So many changes of one entry each, evenly; when each was made. */
  private long[] change(SourceServer source, int backends, int count, int aSecond)
      throws InterruptedException {
    long start = System.nanoTime();
    long[] at = new long[count];
    for (int i = 0; i < count; i++) {
      long when = start + i * 1_000_000_000L / aSecond;
      TimeUnit.NANOSECONDS.sleep(Math.max(0, when - System.nanoTime()));
      at[i] = System.nanoTime();
      source.change((int) ((seed * 31 + i * 7L) % backends), 1);
    }
    return at;
  }

  private void settings(int sets, int tenants, Map<String, Double> row) throws Exception {
    try (SourceServer source = source(SMALL)) {
      Path file = config(source.at(), null, sets, tenants);
      row.put("file_mb", Files.size(file) / 1048576.0);
      Fleet fleet = new Fleet(1, file);
      fleet.awaitListed(READY_MILLIS);
      long cpu = fleet.cpu(), from = System.nanoTime();
      fleet.ask("reload " + file);
      row.put("reload_ms", (System.nanoTime() - from) / MS);
      row.put("reload_cpu_ms", (fleet.cpu() - cpu) / MS);
      row.put("heap_kb", fleet.heapEach());
      fleet.end();
      if (witnesses) {
        try (Witness witness = witness(source, sets, tenants)) {
          row.put("w_ready_ms", witness.readyMillis);
          row.put("w_start_cpu_ms", ProcessGroup.cpu(witness.process) / MS);
          row.put("w_rss_mb", ProcessGroup.memory(witness.process, "VmHWM") / 1024.0);
          row.put(
              "w_reload_cpu_ms",
              Double.isFinite(witness.readyMillis) ? witness.reload() : Double.NaN);
        }
      }
    }
  }

  /** Settings told by changes: what one costs, and when it is in force. */
  private void scope(int sets, int hollow, Map<String, Double> row) throws Exception {
    try (SourceServer list = source(SMALL);
        SourceServer told = new SourceServer(new VersionedSource.Scope(sets), tellsWhole)) {
      Path file = config(list.at(), null, 1, 0);
      Witness witness = witnesses ? scoped(config(list.at(), address(0), 1, 0), told) : null;
      long bytes = told.sent();
      Fleet fleet = new Fleet(hollow, file, told.at());
      row.put("whole_ms", fleet.awaitListed(4 * LIST_MILLIS));
      row.put("whole_kb", (told.sent() - bytes) / 1024.0 / hollow);
      row.put("heap_kb", fleet.heapEach());
      if (witness != null) {
        row.put("w_ready_ms", witness.readyMillis);
        row.put("w_rss_mb", ProcessGroup.memory(witness.process, "VmHWM") / 1024.0);
      }
      boolean few = hollow <= FEW;
      steady(told, fleet, witness, sets, few ? CHANGES : 20, few ? 100 : 5, row);
      if (witness != null) {
        row.put("w_told", witness.figure("settings_told"));
        witness.close();
      }
      fleet.end();
    }
  }

  private Witness scoped(Path config, SourceServer told) throws Exception {
    Path operator =
        Files.writeString(
            folder.resolve("operator.toml"),
            "[settings]\nsource = \""
                + told.at().getHostString()
                + ":"
                + told.at().getPort()
                + "\"\nscope = \"mean\"\n");
    Witness witness = new Witness(0, config, null, " --operator " + operator);
    witness.readyMillis =
        await(LIST_MILLIS, witness::isReady)
            ? (System.nanoTime() - witness.began) / MS
            : Double.NaN;
    return witness;
  }

  /** settings: it is their source that is away, and not the list's. */
  private void outage(int n, boolean settings, Map<String, Double> row) throws Exception {
    try (SourceServer list = source(SMALL);
        SourceServer told = new SourceServer(new VersionedSource.Scope(SCOPE), tellsWhole)) {
      SourceServer source = settings ? told : list;
      Fleet fleet =
          new Fleet(n, config(list.at(), null, settings ? 1 : 100, 0), settings ? told.at() : null);
      row.put("list_ms", fleet.awaitListed(4 * LIST_MILLIS));
      fleet.ask("forget");
      source.mode(SourceServer.Mode.REFUSING);
      Thread.sleep(DOWN_MILLIS);
      long bytes = source.sent(), calls = source.calls(), cpu = fleet.cpu(), at = System.nanoTime();
      source.change(0, 1);
      source.mode(SourceServer.Mode.UP);
      Thread.sleep(400);
      row.put("calls_first_400ms", (double) (source.calls() - calls));
      Thread.sleep(6_000);
      row.put("return_bytes", (source.sent() - bytes) / (double) n);
      row.put("return_us", (fleet.cpu() - cpu) / 1e3 / n);
      fleet.force(new long[] {at}, source, row);
      fleet.end();
    }
  }

  private void restart(int n, Map<String, Double> row) throws Exception {
    int cores = Math.max(1, Math.min(Runtime.getRuntime().availableProcessors(), (n + 1) / 2));
    row.put("core_each", Math.min(1, cores / (double) n));
    for (SourceServer.Mode mode : SourceServer.Mode.values()) {
      String name = mode.name().toLowerCase(java.util.Locale.ROOT);
      try (SourceServer source = source(SMALL)) {
        source.mode(mode);
        List<Witness> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
          all.add(new Witness(i, config(source.at(), address(i), 100, 0), "0-" + (cores - 1)));
        }
        double[] ready = new double[n];
        Arrays.fill(ready, Double.NaN);
        long until = System.nanoTime() + READY_MILLIS * 1_000_000;
        for (int left = n; left > 0 && System.nanoTime() < until; ) {
          for (int i = 0; i < n; i++) {
            if (!Double.isFinite(ready[i]) && all.get(i).isReady()) {
              ready[i] = (System.nanoTime() - all.get(i).began) / MS;
              left--;
            }
          }
          processes.check();
          Thread.sleep(5);
        }
        Arrays.sort(ready);
        row.put(name + "_p50_ms", ready[n / 2]);
        row.put(name + "_p90_ms", ready[Math.max(0, (int) Math.ceil(0.9 * n) - 1)]);
        row.put(name + "_last_ms", ready[n - 1]);
        row.put(
            name + "_rss_mb",
            all.stream().mapToLong(w -> ProcessGroup.memory(w.process, "VmRSS")).sum()
                / 1024.0
                / n);
        all.forEach(Witness::close);
      }
    }
  }

  // ---- what stands beside

  private SourceServer source(int backends) throws IOException {
    return new SourceServer(
        new VersionedSource.Backends(backends, (InetSocketAddress) backend.getLocalSocketAddress()),
        tellsWhole);
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("127.0.8." + (1 + number), 18_000);
  }

  /** One proxy's configuration, as a file; listen: null for hollow ones, which nobody calls. */
  private Path config(InetSocketAddress source, InetSocketAddress listen, int sets, int tenants)
      throws IOException {
    List<Object> ruleSets = new ArrayList<>(), quotas = new ArrayList<>();
    for (int i = 0; i < sets; i++) {
      ruleSets.add(
          Map.of(
              "name",
              "route-" + i,
              "effect",
              "read_like",
              "group",
              "all",
              "window",
              0,
              "responseTarget",
              600_000,
              "clientTimeout",
              1_200_000));
    }
    for (int i = 0; i < tenants; i++) {
      quotas.add(Map.of("name", "tenant-" + i, "quotaPerS", 1));
    }
    Map<String, Object> settings =
        new LinkedHashMap<>(
            Map.of(
                "me",
                0,
                "balancers",
                100,
                "zones",
                List.of("a", "b"),
                "zone",
                0,
                "kinds",
                List.of("m1"),
                "ruleSets",
                ruleSets,
                "tenants",
                quotas,
                "rules",
                Map.of("askEvery", 10_000_000),
                "limits",
                Map.of("maxDispatches", 3, "dialTimeout", 250_000, "idleClose", 30_000_000)));
    Map<String, Object> all = new LinkedHashMap<>();
    String host = listen == null ? "127.0.0.1:0" : listen.getHostString() + ":" + listen.getPort();
    all.put("listen", host);
    all.put("admin", listen == null ? "" : listen.getHostString() + ":" + (listen.getPort() + 1));
    all.put("discovery", source.getHostString() + ":" + source.getPort());
    all.put("seed", Long.toHexString(seed * 0x9E37_79B9L + ++configs));
    all.put("settings", settings);
    Path file = folder.resolve("config-" + configs + ".json");
    Files.writeString(file, new ObjectMapper().writeValueAsString(all));
    return file;
  }

  /** The hollow proxies of a point, in as many processes as they need. */
  private final class Fleet {
    final int size;
    final List<Hollows> parts = new ArrayList<>();
    private final double heap;
    private final long began;

    Fleet(int size, Path config) throws IOException {
      this(size, config, null);
    }

    /** settings: the source of those that they watch, or null. */
    Fleet(int size, Path config, InetSocketAddress settings) throws IOException {
      this.size = size;
      int count = (size + EACH - 1) / EACH;
      for (int i = 0; i < count; i++) {
        int first = size * i / count;
        parts.add(processes.hollows(size * (i + 1) / count - first, first, config, settings));
      }
      double empty = 0;
      long start = Long.MAX_VALUE;
      for (Hollows part : parts) {
        String[] words = part.answer().get(0).split(" ");
        start = Math.min(start, Long.parseLong(words[1]));
        empty += Double.parseDouble(words[2]);
      }
      heap = empty;
      began = start;
    }

    void ask(String order) {
      parts.forEach(part -> part.ask(order));
    }

    /** Milliseconds until all have a list, or NaN. */
    double awaitListed(long most) throws InterruptedException {
      boolean all =
          await(
              most,
              () ->
                  parts.stream()
                          .mapToInt(
                              part -> Integer.parseInt(part.ask("known").get(0).split(" ")[0]))
                          .sum()
                      >= size);
      return all ? (System.nanoTime() - began) / MS : Double.NaN;
    }

    double known() {
      return parts.stream()
          .mapToInt(part -> Integer.parseInt(part.ask("known").get(0).split(" ")[1]))
          .max()
          .orElse(0);
    }

    double heapEach() {
      double now =
          parts.stream().mapToDouble(part -> Double.parseDouble(part.ask("heap").get(0))).sum();
      return (now - heap) / 1024 / size;
    }

    long cpu() {
      return parts.stream().mapToLong(part -> ProcessGroup.cpu(part.process)).sum();
    }

    /** From the moment a change was made until it is in force, of all changes at all proxies. */
    void force(long[] at, SourceServer source, Map<String, Double> row) {
      List<Double> took = new ArrayList<>();
      long latest = source.rev();
      for (Hollows part : parts) {
        for (String line : part.ask("force")) {
          String[] words = line.split(" ");
          int change = (int) (at.length - 1 - (latest - Long.parseLong(words[0])));
          for (int i = 1; change >= 0 && i < words.length; i++) {
            took.add((Long.parseLong(words[i]) - at[change]) / MS);
          }
        }
      }
      took.sort(null);
      int n = took.size();
      row.put("untold", (double) at.length * size - n);
      row.put("force_p50_ms", n == 0 ? Double.NaN : took.get(n / 2));
      row.put("force_p99_ms", n == 0 ? Double.NaN : took.get((int) (0.99 * (n - 1))));
      row.put("force_last_ms", n == 0 ? Double.NaN : took.get(n - 1));
    }

    void end() {
      parts.forEach(part -> processes.end(part.process));
    }
  }

  private static boolean await(long most, BooleanSupplier is) throws InterruptedException {
    long until = System.nanoTime() + most * 1_000_000;
    while (!is.getAsBoolean()) {
      if (System.nanoTime() > until) {
        return false;
      }
      Thread.sleep(20);
    }
    return true;
  }

  private Witness witness(SourceServer source, int sets, int tenants) throws Exception {
    if (!witnesses) {
      return null;
    }
    Witness witness = new Witness(0, config(source.at(), address(0), sets, tenants), null);
    boolean ready = await(LIST_MILLIS, witness::isReady);
    witness.readyMillis = ready ? (System.nanoTime() - witness.began) / MS : Double.NaN;
    return witness;
  }

  /** A real proxy, started by the operators' line. */
  private final class Witness implements AutoCloseable {
    final InetSocketAddress at;
    final Process process;
    final long began = System.nanoTime();
    private final Path config;
    double readyMillis = Double.NaN;

    Witness(int number, Path config, String cpus) throws IOException {
      this(number, config, cpus, "");
    }

    /** further: what stands behind the operators' line. */
    Witness(int number, Path config, String cpus, String further) throws IOException {
      at = address(number);
      this.config = config;
      Path own = Files.createDirectories(folder.resolve("w" + number));
      process = processes.real(home, run + further, config, own, cpus);
    }

    boolean isReady() {
      try (Socket one = new Socket()) {
        one.connect(at, 200);
        one.setSoTimeout(200);
        one.getOutputStream()
            .write("GET /ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        byte[] head = one.getInputStream().readNBytes(12);
        return new String(head, StandardCharsets.US_ASCII).endsWith("200");
      } catch (IOException e) {
        return false;
      }
    }

    double figure(String name) {
      try (Socket one = new Socket()) {
        one.connect(new InetSocketAddress(at.getHostString(), at.getPort() + 1), 1000);
        one.setSoTimeout(2000);
        one.getOutputStream()
            .write("GET /status/metrics HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        String text = new String(one.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        int from = text.indexOf("proxy." + name + ":");
        return from < 0
            ? Double.NaN
            : Double.parseDouble(
                text.substring(text.indexOf(':', from) + 1, text.indexOf('|', from)));
      } catch (IOException e) {
        return Double.NaN;
      }
    }

    /** Reads its file again at a signal: processor milliseconds, of which some are rest. */
    double reload() throws Exception {
      double before = figure("reloads_ok");
      long cpu = ProcessGroup.cpu(process);
      new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
      boolean done = await(LIST_MILLIS, () -> figure("reloads_ok") > before);
      return done ? (ProcessGroup.cpu(process) - cpu) / MS : Double.NaN;
    }

    @Override
    public void close() {
      processes.end(process);
    }
  }

  /** Asks one proxy 100 times a second on one connection, and holds how long each answer took. */
  private static final class Caller {
    private static final int A_SECOND = 100;
    private final List<Double> took = new ArrayList<>();
    private volatile boolean over;
    private final Thread thread;

    Caller(InetSocketAddress at) {
      thread =
          daemon(
              () -> {
                try (Socket one = new Socket()) {
                  one.setTcpNoDelay(true);
                  one.connect(at, 1000);
                  one.setSoTimeout(2000);
                  for (long i = 0, from = System.nanoTime(); !over; i++) {
                    TimeUnit.NANOSECONDS.sleep(
                        from + i * 1_000_000_000L / A_SECOND - System.nanoTime());
                    long asked = System.nanoTime();
                    one.getOutputStream()
                        .write(
                            ("GET /route-0 HTTP/1.1\r\nRequest-Id: "
                                    + Long.toHexString(asked)
                                    + "\r\nRequest-Class: route-0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                    String head = head(one.getInputStream());
                    if (head == null) {
                      return;
                    }
                    one.getInputStream().readNBytes(length(head));
                    synchronized (took) {
                      took.add((System.nanoTime() - asked) / MS);
                    }
                  }
                }
              });
    }

    /** Ends then; 99 of 100 answers took no longer than so many milliseconds, or NaN. */
    double endAfter(long millis) throws InterruptedException {
      Thread.sleep(millis);
      over = true;
      thread.join(3000);
      synchronized (took) {
        took.sort(null);
        return took.isEmpty() ? Double.NaN : took.get((int) (0.99 * (took.size() - 1)));
      }
    }
  }

  private interface Work {
    void run() throws Exception;
  }

  private static Thread daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (Exception e) {
                // the other side has gone, or the run is over
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      head.append((char) c);
      if (c == '\n' && head.toString().endsWith("\r\n\r\n")) {
        return head.toString();
      }
    }
    return null;
  }

  private static int length(String head) {
    String low = head.toLowerCase(java.util.Locale.ROOT);
    int at = low.indexOf("content-length: ");
    return at < 0 ? 0 : Integer.parseInt(low.substring(at + 16, low.indexOf("\r\n", at)));
  }

  private static void serve(Socket one) throws IOException {
    one.setTcpNoDelay(true);
    for (String head = head(one.getInputStream());
        head != null;
        head = head(one.getInputStream())) {
      one.getOutputStream()
          .write(
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
    }
  }

  @Override
  public void close() throws IOException {
    backend.close();
  }
}
