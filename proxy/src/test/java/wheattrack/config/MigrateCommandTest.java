package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MigrateCommandTest {
  private static final String OLD =
      """
{"listen": "127.0.0.1:8000", "discovery": "127.0.0.1:9000", "seed": "ab", "settings": {
  "me": 0, "balancers": 2, "zones": ["a", "b"], "zone": 1, "prices": {"crossZone": 0.02},
  "tenants": [{"name": "t", "quotaPerS": 50}], "limits": {"probing": false},
  "ruleSets": [{"name": "x", "effect": "read_like", "group": "zone"}], "rules": {"budgetSpan": 0}}}
""";

  @TempDir Path dir;
  private Path old, next;
  private String said, printed;

  @BeforeEach
  void files() throws Exception {
    old = Files.writeString(dir.resolve("old.json"), OLD);
    next = dir.resolve("new.json");
  }

  private int migrate(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(), err = new ByteArrayOutputStream();
    int code = MigrateCommand.run(args, new PrintStream(out), new PrintStream(err)).code();
    printed = out.toString();
    said = err.toString().replace(dir + "/", "").strip();
    return code;
  }

  private void fails(String what, String... args) {
    assertEquals(2, migrate(args));
    assertEquals("wheattrack migrate: " + what, said);
    assertFalse(Files.exists(next));
  }

  /**
   * Each thing left has its line; the file is whole, passes the check and is left alone from then
   * on.
   */
  @Test
  void carriesOver() throws Exception {
    String[] args = {
      old.toString(),
      "--balancers",
      "400",
      "--me",
      "17",
      "--place",
      "b",
      "--listen",
      "127.0.0.1:8001",
      "--reports",
      "answers",
      "--out",
      next.toString()
    };
    assertEquals(1, migrate(args));
    assertEquals(
        """
        seed: left out, each proxy draws its own at its start
        settings.rules.budgetSpan: left out, further dispatches are held to no budget now
        settings.report: name the answers' header in the operators' file, answers-header
        settings.prices.crossZone: left out, nothing is crossed in one place
        settings.ruleSets[0].group: zone is all of the one place, see if that is meant""",
        said);
    ProxyConfig made = ProxyConfig.read(next);
    assertEquals(400, made.settings().integer("balancers", 0));
    assertEquals("answers", made.settings().text("report.how"));
    assertEquals(8001, made.listen().getPort());
    assertEquals(OLD, Files.readString(old));
    assertEquals(2, migrate(args));
    assertEquals("wheattrack migrate: old.json: --out: new.json is there already", said);
    assertEquals(0, migrate(next.toString(), "--dry-run"));
    assertEquals("new.json: is of the new shape already, nothing is written", said);
    assertEquals(2, Files.list(dir).count());
  }

  @Test
  void dryRunChangesNothing() throws Exception {
    assertEquals(1, migrate(old.toString(), "--dry-run", "--reports", "none"));
    assertTrue(said.contains("settings.balancers: as it was"), said);
    assertTrue(printed.contains("\"shape\" : \"per-client\""), printed);
    assertEquals(1, Files.list(dir).count());
  }

  /**
   * Probes were switched on in limits that no file held: the result was refused for want of them.
   */
  @Test
  void probesWithoutLimits() throws Exception {
    Files.writeString(old, OLD.replace("\"limits\": {\"probing\": false},", ""));
    assertEquals(1, migrate(old.toString(), "--out", next.toString(), "--reports", "probe"));
    assertTrue(ProxyConfig.read(next).settings().flag("limits.probing"));
  }

  @Test
  void badInput() throws Exception {
    String file = old.toString(), out = next.toString();
    fails(
        "old.json: --me: 2 of 2 proxies contradicts settings.balancers and settings.me",
        file,
        "--out",
        out,
        "--me",
        "2");
    fails(
        "old.json: --place: 'c' contradicts settings.zones, [a, b]",
        file,
        "--out",
        out,
        "--place",
        "c");
    fails(
        "old.json: --reports: probe contradicts settings.limits.probing, which is false",
        file,
        "--out",
        out,
        "--reports",
        "probe");
    fails(
        "old.json: --balancers: not a whole number: many",
        file,
        "--out",
        out,
        "--balancers",
        "many");
    fails("none.json: no such file", dir.resolve("none.json").toString(), "--out", out);
    Files.writeString(old, OLD.replace("[{\"name\": \"t\", \"quotaPerS\": 50}]", "7"));
    fails("old.json: settings.tenants: not a list", file, "--out", out);
    Files.writeString(old, OLD.replace("\"zone\": 1", "\"zoned\": 1"));
    fails("old.json: settings.zoned: unknown key", file, "--out", out);
    Files.writeString(old, OLD.replace("\"zone\": 1", "\"zone\": 2"));
    fails("old.json: settings.zone: not a place in zones", file, "--out", out);
    Files.writeString(old, OLD.substring(0, 90));
    assertEquals(2, migrate(file, "--out", out));
    assertTrue(said.startsWith("wheattrack migrate: old.json: unreadable"), said);
  }
}
