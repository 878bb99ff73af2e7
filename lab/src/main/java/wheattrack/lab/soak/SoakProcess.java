package wheattrack.lab.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the proxy, started by the {@code run} line of the deploy file. */
final class SoakProcess {
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(?<command>[^\"]+)\"");
  private static final String DEPLOY_FILE = "deploy/balancer.toml";
  private static final String DEPLOYED_JAR = "proxy/target/wheattrack.jar";
  private static final String READY_LINE = "phase SERVING";

  /** The operators' pages allow a proxy this long until it is ready. */
  private static final long READY_SECONDS = 30;

  private static final int LOG_POLL_MILLIS = 10;

  private final Process process;
  private final Path log;

  /**
   * Starts a process.
   *
   * @param home the repository's folder
   * @param jar the proxy's program
   * @param directory holds its {@code config.json} and {@code operator.toml}; its log is written
   *     there
   * @param name name of its log file, without the ending
   */
  SoakProcess(Path home, Path jar, Path directory, String name) throws IOException {
    log = directory.resolve(name + ".log");
    String command =
        runCommand(home).replace(DEPLOYED_JAR, jar.toAbsolutePath().toString())
            + " --operator "
            + directory.resolve("operator.toml");
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", command)
            .directory(home.toFile())
            .redirectErrorStream(true)
            .redirectInput(new File("/dev/null"))
            .redirectOutput(log.toFile());
    builder.environment().put("GW_CONFIG", directory.resolve("config.json").toString());
    builder.environment().put("TMPDIR", directory.toString());
    process = builder.start();
  }

  private static String runCommand(Path home) throws IOException {
    Matcher matcher = RUN_LINE.matcher(Files.readString(home.resolve(DEPLOY_FILE)));
    if (!matcher.find()) {
      throw new IOException(DEPLOY_FILE + ": expected a line 'run = \"COMMAND\"', found none");
    }
    return matcher.group("command");
  }

  /** Waits until the process logs that it serves; returns whether it did so in time. */
  boolean awaitReady() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (process.isAlive() && System.nanoTime() < deadline) {
      if (logText().contains(READY_LINE)) {
        return true;
      }
      Thread.sleep(LOG_POLL_MILLIS);
    }
    return false;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal, such as "HUP", if the process is alive. */
  void signal(String name) throws IOException, InterruptedException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Kills the process and waits until it has ended. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** The text of its log so far. */
  String logText() throws IOException {
    return Files.readString(log);
  }
}
