package independent;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The surroundings of one case: the record, a temporary folder, and the proxies, which are started
 * with the command `run` of the deploy file and ended with the case.
 */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Whether the case is played with its disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*?)\"\\s*(#.*)?$");
  private static final long READY_TIMEOUT_MILLIS = 15_000;

  private final Path root;
  private final Path temp;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final List<ProxyProcess> proxies = new ArrayList<>();

  Rig(Path root, Path caseFolder) throws IOException {
    this.root = root;
    temp = Files.createTempDirectory("wheattrack-case");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    record("case " + caseFolder.getFileName() + ", disruption " + (TROUBLE ? "on" : "off"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProxies));
  }

  /** Milliseconds since the start of the case. */
  double millis() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  /** Adds a line to the record. */
  void record(String text) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%9.1f %s%n", millis(), text);
    }
  }

  /** Adds a line to the record and to the output of the script. */
  void say(String text) {
    record(text);
    System.out.println(text);
  }

  /** A TCP port of 127.0.0.1 that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** One proxy process. */
  final class ProxyProcess {
    final String name;
    final int port;
    private final Path config;
    private final Path folder;
    private Process process;

    /** The port where operators call; another one at each process of a proxy. */
    private final int adminPort;

    private ProxyProcess(String name, int port, Path folder) throws IOException {
      this.name = name;
      this.port = port;
      this.folder = folder;
      adminPort = freePort();
      config = folder.resolve(name + ".json");
    }

    /** Replaces the configuration file; the process does not read it before a signal or start. */
    void configure(int discoveryPort, String settings) throws IOException {
      String json =
          "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
              + "\",\"admin\":\"127.0.0.1:" + adminPort
              + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
              + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
              + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
              + "\"settings\":" + settings + "}";
      Path next = folder.resolve("next.json");
      Files.writeString(next, json);
      Files.move(next, config, StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
      builder.directory(root.toFile());
      builder.environment().put("GW_NAME", name);
      builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("GW_CONFIG", config.toString());
      builder.environment().put("TMPDIR", folder.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".txt").toFile()));
      process = builder.start();
      record("proxy " + name + " started, process " + process.pid());
    }

    /** Waits until GET /ready has answered 200. */
    void awaitReady() throws Exception {
      await(port, "/ready");
    }

    /** Waits until the second address has said yes, as at a replacement of the process. */
    void awaitStatus() throws Exception {
      await(adminPort, "/status");
    }

    private void await(int askedPort, String path) throws Exception {
      long deadline = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
      while (System.nanoTime() < deadline && process.isAlive()) {
        try (Client client = new Client(askedPort)) {
          if (client.exchange(Client.get(path, "")).status == 200) {
            record("proxy " + name + " ready");
            return;
          }
        } catch (IOException e) {
          // not listening yet
        }
        Thread.sleep(20);
      }
      throw new IOException("proxy " + name + " did not become ready\n" + log());
    }

    /** Sends a signal by its name. */
    void signal(String signal) throws Exception {
      record("SIG" + signal + " to proxy " + name);
      String command = "kill -" + signal + " " + process.pid();
      new ProcessBuilder("/bin/sh", "-c", command).inheritIO().start().waitFor();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    /** Waits for the end of the process; returns its exit code, or -1 if it goes on. */
    int awaitEnd(long millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    String log() throws IOException {
      Path log = folder.resolve(name + ".txt");
      return Files.exists(log) ? Files.readString(log) : "";
    }
  }

  ProxyProcess newProxy(String name) throws IOException {
    Path folder = Files.createDirectories(temp.resolve(name));
    ProxyProcess proxy = new ProxyProcess(name, freePort(), folder);
    proxies.add(proxy);
    return proxy;
  }

  /** A second process of the same proxy: the same address and folder, another second address. */
  ProxyProcess newProcessOf(ProxyProcess older, String name) throws IOException {
    ProxyProcess proxy = new ProxyProcess(name, older.port, older.folder);
    proxies.add(proxy);
    return proxy;
  }

  private String runCommand() throws IOException {
    String file = Files.readString(root.resolve("deploy/balancer.toml"));
    Matcher matcher = RUN_LINE.matcher(file);
    if (!matcher.find()) {
      throw new IOException("deploy/balancer.toml has no line `run`");
    }
    return matcher.group(1);
  }

  private void endProxies() {
    for (ProxyProcess proxy : proxies) {
      if (proxy.process != null) {
        proxy.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProxies();
    for (ProxyProcess proxy : proxies) {
      record("log of proxy " + proxy.name + ":\n" + firstLines(proxy.log()));
    }
    record.close();
    try (Stream<Path> files = Files.walk(temp)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  private static String firstLines(String text) {
    List<String> lines = text.lines().filter(line -> !line.contains("surplus")).toList();
    return String.join("\n", lines.subList(0, Math.min(60, lines.size())));
  }

  /** The body of a case; returns the exit code. */
  interface Play {
    int run(Rig rig) throws Exception;
  }

  /** Plays a case: the arguments are the root of the checkout and the folder of the case. */
  static void play(String[] args, Play play) {
    int code = COULD_NOT_RUN;
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath())) {
      code = play(rig, play);
      rig.say("exit " + code);
    } catch (IOException | RuntimeException e) {
      System.out.println("could not run: " + e);
    }
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }

  private static int play(Rig rig, Play play) {
    try {
      return play.run(rig);
    } catch (Exception e) {
      rig.say("could not run: " + e);
      return COULD_NOT_RUN;
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
