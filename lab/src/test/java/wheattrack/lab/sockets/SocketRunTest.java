package wheattrack.lab.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheattrack.lab.LabMain;
import wheattrack.lab.referee.InvalidLedgerException;
import wheattrack.lab.referee.Ledger;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;

/** Complete runs on loopback sockets, with proxies as separate processes. */
class SocketRunTest {
  private static final Path JAR = Path.of("../proxy/target/wheattrack.jar");

  @TempDir Path directory;

  private static String scenarioText(int seconds, String faults) {
    return """
           clock = "real"
           seconds = %d
           [fleet]
           proxies = 2
           [[server]]
           count = 4
           [[rule-set]]
           name = "pay"
           work-ms = 15
           target-ms = 400
           timeout-ms = 1200
           effect = "non-replayable"
           [[rule-set]]
           name = "look-up"
           work-ms = 15
           target-ms = 400
           timeout-ms = 1200
           [load]
           rate = 60
           """
            .formatted(seconds)
        + faults;
  }

  private static String faultText(
      String kind, double startSeconds, double durationSeconds, String otherKeys) {
    return "[[fault]]\nkind = \""
        + kind
        + "\"\nat-s = "
        + startSeconds
        + "\nfor-s = "
        + durationSeconds
        + "\n"
        + otherKeys
        + "\n";
  }

  private static long liveChildProcesses() {
    return ProcessHandle.current().descendants().filter(ProcessHandle::isAlive).count();
  }

  /**
   * Guards against broken rules while links reset connections, cut answers off, hold bytes back and
   * delay them, while a proxy is paused or killed, and while the clock of one is an hour ahead.
   */
  @Test
  void rulesHoldThroughLinkFaultsAndKilledProxies() throws Exception {
    Scenario scenario =
        ScenarioReader.parse(
            "link-and-proxy-faults",
            scenarioText(
                9,
                faultText("link-reset", 1, 0.7, "share = 0.5")
                    + faultText("link-cut", 2, 0.7, "share = 0.5")
                    + faultText("link-hold", 3, 0.5, "share = 0.5")
                    + faultText("link-delay", 4, 0.5, "size = 60\nshare = 1")
                    + faultText("stop-proxy", 5, 0.2, "place = 0")
                    + faultText("kill-proxy", 6, 0.5, "place = 1")
                    + faultText("clock-proxy", 0.2, 8, "place = 0\nsize = 3600000")));
    Referee referee = new Referee(scenario);
    try (SocketRun run = new SocketRun(scenario, 3, JAR, SocketRun.ProxyOptions.DEFAULT, referee)) {
      run.run();
      assertTrue(liveChildProcesses() >= 2, "fewer than two child processes are alive");
    }
    assertEquals(0, liveChildProcesses(), "child processes still alive");
    Verdict verdict = referee.verdict();
    assertEquals(0, verdict.metrics().get("broken"), verdict.violations().toString());
    assertTrue(verdict.metrics().get("done") > 300, verdict.metrics().toString());
    assertTrue(verdict.metrics().get("aborted") > 0, "no answer was cut off: " + verdict.metrics());
  }

  /**
   * Guards against results of an overloaded lab: when its event loop is blocked for 60 ms again and
   * again, operations start late, and the run must count as too late.
   */
  @Test
  void lateLabInvalidatesTheRun() throws Exception {
    Scenario scenario = ScenarioReader.parse("late", scenarioText(2, ""));
    try (SocketRun run =
        new SocketRun(scenario, 3, JAR, SocketRun.ProxyOptions.DEFAULT, entry -> {})) {
      Thread blocker =
          new Thread(
              () -> {
                while (!Thread.interrupted()) {
                  run.loop()
                      .execute(
                          () -> {
                            long end = System.nanoTime() + 60_000_000;
                            while (System.nanoTime() < end) {
                              Thread.onSpinWait();
                            }
                          });
                  try {
                    Thread.sleep(70);
                  } catch (InterruptedException e) {
                    return;
                  }
                }
              });
      blocker.start();
      assertTrue(run.run().isTooLate(), "the run of the blocked lab counts as conclusive");
      blocker.interrupt();
    }
    assertEquals(0, liveChildProcesses(), "child processes still alive");
  }

  @Test
  void missingJarStartsNoProcess() {
    Scenario scenario = ScenarioReader.parse("none", scenarioText(2, ""));
    assertThrows(
        IOException.class,
        () ->
            new SocketRun(
                scenario, 3, Path.of("no.jar"), SocketRun.ProxyOptions.DEFAULT, entry -> {}));
    assertEquals(0, liveChildProcesses(), "child processes still alive");
  }

  /** Guards against proxies that go on running after the lab's process was terminated in a run. */
  @Test
  void noProxyOutlivesATerminatedLab() throws Exception {
    Path file = directory.resolve("long.toml");
    Files.writeString(file, scenarioText(30, ""));
    Process lab =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                LabMain.class.getName(),
                "run",
                file.toString(),
                "--jar",
                JAR.toString(),
                "--out",
                directory.resolve("out").toString())
            .inheritIO()
            .start();
    List<ProcessHandle> proxies = new ArrayList<>();
    for (int i = 0; i < 100 && proxies.size() < 2; i++) {
      Thread.sleep(100);
      proxies = lab.descendants().collect(Collectors.toList());
    }
    assertEquals(2, proxies.size(), "proxy processes of the lab");
    Thread.sleep(1500);
    lab.destroy();
    assertTrue(lab.waitFor(10, TimeUnit.SECONDS), "the terminated lab is still alive");
    for (ProcessHandle proxy : proxies) {
      proxy.onExit().get(5, TimeUnit.SECONDS);
      assertFalse(proxy.isAlive(), "proxy process " + proxy.pid() + " is still alive");
    }
    assertThrows(
        InvalidLedgerException.class, () -> Ledger.read(directory.resolve("out/sockets.ledger")));
  }

  /**
   * Guards against attempts at a drained backend: both proxies are notified of the drain, and the
   * ledger must have no attempt at that backend afterwards, from 1.65 s to 3 s.
   */
  @Test
  void drainedBackendsReceiveNoAttempts() throws Exception {
    Scenario scenario =
        ScenarioReader.parse("drain", scenarioText(4, faultText("drain", 1, 2, "place = 1")));
    List<LedgerRecord> entries = new ArrayList<>();
    try (SocketRun run =
        new SocketRun(scenario, 3, JAR, SocketRun.ProxyOptions.DEFAULT, entries::add)) {
      run.run();
    }
    Referee referee = new Referee(scenario);
    entries.forEach(referee);
    assertEquals(0, referee.verdict().metrics().get("broken"), "broken rules");
    long drainEvents =
        entries.stream()
            .filter(
                entry ->
                    entry.kind() == LedgerRecord.Kind.ENDPOINT_NOTIFIED
                        && entry.state() == LedgerRecord.State.DRAINING
                        && entry.backend() == 1)
            .count();
    assertEquals(2, drainEvents, "notifications that backend 1 is draining");
    long lateAttempts =
        entries.stream()
            .filter(
                entry ->
                    entry.kind() == LedgerRecord.Kind.ATTEMPT_ARRIVED
                        && entry.backend() == 1
                        && entry.at() > 16_500
                        && entry.at() < 30_000)
            .count();
    assertEquals(0, lateAttempts, "attempts at backend 1 after its drain");
  }
}
