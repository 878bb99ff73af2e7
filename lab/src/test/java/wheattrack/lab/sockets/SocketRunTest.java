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
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

/** Whole runs on loopback sockets, with proxies as processes. */
class SocketRunTest {
  private static final Path JAR = Path.of("../proxy/target/wheattrack.jar");

  @TempDir Path dir;

  private static String text(int seconds, String faults) {
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

  private static String fault(String kind, double at, double lasts, String more) {
    return "[[fault]]\nkind = \""
        + kind
        + "\"\nat-s = "
        + at
        + "\nfor-s = "
        + lasts
        + "\n"
        + more
        + "\n";
  }

  private static long children() {
    return ProcessHandle.current().descendants().filter(ProcessHandle::isAlive).count();
  }

  /**
   * Links that break, cut answers off, hold and delay; a proxy stopped, killed, and one an hour
   * ahead.
   */
  @Test
  void rulesHoldThroughSpoiltLinksAndKilledProxies() throws Exception {
    Scenario s =
        Scenario.of(
            "spoilt",
            text(
                9,
                fault("link-reset", 1, 0.7, "share = 0.5")
                    + fault("link-cut", 2, 0.7, "share = 0.5")
                    + fault("link-hold", 3, 0.5, "share = 0.5")
                    + fault("link-delay", 4, 0.5, "size = 60\nshare = 1")
                    + fault("stop-proxy", 5, 0.2, "place = 0")
                    + fault("kill-proxy", 6, 0.5, "place = 1")
                    + fault("clock-proxy", 0.2, 8, "place = 0\nsize = 3600000")));
    Referee referee = new Referee(s);
    try (SocketRun sockets = new SocketRun(s, 3, JAR, SocketRun.How.USUAL, referee)) {
      sockets.run();
      assertTrue(children() >= 2);
    }
    assertEquals(0, children());
    Verdict v = referee.verdict();
    assertEquals(0, v.figures().get("broken"), v.violations().toString());
    assertTrue(v.figures().get("done") > 300, v.figures().toString());
    assertTrue(v.figures().get("aborted") > 0, "no answer was cut off: " + v.figures());
  }

  /** A lab that stands still for long again and again has measured nothing. */
  @Test
  void aLabThatRanLateSaysNothing() throws Exception {
    Scenario s = Scenario.of("late", text(2, ""));
    try (SocketRun sockets = new SocketRun(s, 3, JAR, SocketRun.How.USUAL, e -> {})) {
      Thread busy =
          new Thread(
              () -> {
                while (!Thread.interrupted()) {
                  sockets.loop.execute(
                      () -> {
                        long until = System.nanoTime() + 60_000_000;
                        while (System.nanoTime() < until) {
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
      busy.start();
      assertTrue(sockets.run().isTooLate());
      busy.interrupt();
    }
    assertEquals(0, children());
  }

  @Test
  void aMissingJarStartsNothing() {
    Scenario s = Scenario.of("none", text(2, ""));
    assertThrows(
        IOException.class,
        () -> new SocketRun(s, 3, Path.of("no.jar"), SocketRun.How.USUAL, e -> {}));
    assertEquals(0, children());
  }

  /** The lab's process is told to end in the middle of a run: no proxy outlives it. */
  @Test
  void nothingOutlivesAnInterrupt() throws Exception {
    Path file = dir.resolve("long.toml");
    Files.writeString(file, text(30, ""));
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
                dir.resolve("out").toString())
            .inheritIO()
            .start();
    List<ProcessHandle> proxies = new ArrayList<>();
    for (int i = 0; i < 100 && proxies.size() < 2; i++) {
      Thread.sleep(100);
      proxies = lab.descendants().collect(Collectors.toList());
    }
    assertEquals(2, proxies.size());
    Thread.sleep(1500);
    lab.destroy();
    assertTrue(lab.waitFor(10, TimeUnit.SECONDS));
    for (ProcessHandle proxy : proxies) {
      proxy.onExit().get(5, TimeUnit.SECONDS);
      assertFalse(proxy.isAlive());
    }
    assertThrows(
        wheattrack.lab.referee.InvalidLedgerException.class,
        () -> wheattrack.lab.referee.Ledger.read(dir.resolve("out/sockets.ledger")));
  }

  /**
   * What the clients and servers saw of a drain is in the ledger in the order in which it happened.
   */
  @Test
  void drainsReachTheProxies() throws Exception {
    Scenario s = Scenario.of("drain", text(4, fault("drain", 1, 2, "place = 1")));
    List<LedgerRecord> all = new ArrayList<>();
    try (SocketRun sockets = new SocketRun(s, 3, JAR, SocketRun.How.USUAL, all::add)) {
      sockets.run();
    }
    Referee referee = new Referee(s);
    all.forEach(referee);
    assertEquals(0, referee.verdict().figures().get("broken"));
    long told =
        all.stream()
            .filter(
                e ->
                    e.kind() == LedgerRecord.Kind.ENDPOINT_NOTIFIED
                        && e.state() == LedgerRecord.State.DRAINING
                        && e.backend() == 1)
            .count();
    assertEquals(2, told);
    long after =
        all.stream()
            .filter(
                e ->
                    e.kind() == LedgerRecord.Kind.ATTEMPT_ARRIVED
                        && e.backend() == 1
                        && e.at() > 16_500
                        && e.at() < 30_000)
            .count();
    assertEquals(0, after);
  }
}
