package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command `migrate`: its result, its remarks, its errors and what it writes. */
class MigrateCommandTest {
  private static final String OLD =
      """
{"listen": "127.0.0.1:8000", "discovery": "127.0.0.1:9000", "seed": "ab", "settings": {
  "me": 0, "balancers": 2, "zones": ["a", "b"], "zone": 1, "prices": {"crossZone": 0.02},
  "tenants": [{"name": "t", "quotaPerS": 50}], "limits": {"probing": false},
  "ruleSets": [{"name": "x", "effect": "read_like", "group": "zone"}], "rules": {"budgetSpan": 0}}}
""";

  @TempDir Path folder;
  private Path oldFile;
  private Path newFile;
  private String errors;
  private String output;

  @BeforeEach
  void writeOldFile() throws Exception {
    oldFile = Files.writeString(folder.resolve("old.json"), OLD);
    newFile = folder.resolve("new.json");
  }

  private int migrate(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code = MigrateCommand.run(args, new PrintStream(out), new PrintStream(err)).code();
    output = out.toString();
    errors = err.toString().replace(folder + "/", "").strip();
    return code;
  }

  /** Runs the command with an output file and these options; it must fail and write nothing. */
  private void assertFails(String message, Path file, String... options) {
    List<String> args = new ArrayList<>(List.of(file.toString(), "--out", newFile.toString()));
    args.addAll(List.of(options));
    assertEquals(2, migrate(args.toArray(String[]::new)));
    assertEquals("wheattrack migrate: " + message, errors);
    assertFalse(Files.exists(newFile));
  }

  private int migrateWithAllOptions() {
    return migrate(
        oldFile.toString(),
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
        newFile.toString());
  }

  private long fileCount() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.count();
    }
  }

  /** Each thing left to the operator has its line; the new file passes the check. */
  @Test
  void migratesWithRemarks() throws Exception {
    assertEquals(1, migrateWithAllOptions());
    assertEquals(
        """
        seed: left out, each proxy draws its own at its start
        settings.rules.budgetSpan: left out, further dispatches are held to no budget now
        settings.report: name the answers' header in the operators' file, answers-header
        settings.prices.crossZone: left out, nothing is crossed in one place
        settings.ruleSets[0].group: zone is all of the one place, see if that is meant""",
        errors);
    ProxyConfig migrated = ProxyConfig.read(newFile);
    assertEquals(400, migrated.settings().integer("balancers", 0));
    assertEquals("answers", migrated.settings().text("report.how"));
    assertEquals(8001, migrated.listen().getPort());
    assertEquals(OLD, Files.readString(oldFile));
    assertEquals(2, fileCount());
  }

  @Test
  void existingFileIsNotOverwritten() throws Exception {
    migrateWithAllOptions();
    String migrated = Files.readString(newFile);
    assertEquals(2, migrateWithAllOptions());
    assertEquals("wheattrack migrate: old.json: --out: new.json is there already", errors);
    assertEquals(migrated, Files.readString(newFile));
    assertEquals(2, fileCount());
  }

  @Test
  void migratedFileIsNotMigratedAgain() throws Exception {
    migrateWithAllOptions();
    assertEquals(0, migrate(newFile.toString(), "--dry-run"));
    assertEquals("new.json: is of the new shape already, nothing is written", errors);
    assertEquals(2, fileCount());
  }

  @Test
  void dryRunChangesNothing() throws Exception {
    assertEquals(1, migrate(oldFile.toString(), "--dry-run", "--reports", "none"));
    assertTrue(errors.contains("settings.balancers: as it was"), errors);
    assertTrue(output.contains("\"shape\" : \"per-client\""), output);
    assertEquals(1, fileCount());
  }

  /**
   * The old file has no limits: the result was once rejected, as probing was set in a section that
   * it did not have.
   */
  @Test
  void probeReportsWithoutLimitsSection() throws Exception {
    Files.writeString(oldFile, OLD.replace("\"limits\": {\"probing\": false},", ""));
    assertEquals(1, migrate(oldFile.toString(), "--out", newFile.toString(), "--reports", "probe"));
    assertTrue(ProxyConfig.read(newFile).settings().flag("limits.probing"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "--me|2|--me: 2 of 2 proxies contradicts settings.balancers and settings.me",
        "--place|c|--place: 'c' contradicts settings.zones, [a, b]",
        "--reports|probe|--reports: probe contradicts settings.limits.probing, which is false",
        "--balancers|many|--balancers: not a whole number: many"
      })
  void invalidOptionWritesNothing(String option, String value, String message) {
    assertFails("old.json: " + message, oldFile, option, value);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[{\"name\": \"t\", \"quotaPerS\": 50}]|7|settings.tenants: not a list",
        "\"zone\": 1|\"zoned\": 1|settings.zoned: unknown key",
        "\"zone\": 1|\"zone\": 2|settings.zone: not a place in zones"
      })
  void invalidOldFileWritesNothing(String original, String replacement, String message)
      throws Exception {
    Files.writeString(oldFile, OLD.replace(original, replacement));
    assertFails("old.json: " + message, oldFile);
  }

  @Test
  void missingOldFileWritesNothing() {
    assertFails("none.json: no such file", folder.resolve("none.json"));
  }

  @Test
  void truncatedOldFileWritesNothing() throws Exception {
    Files.writeString(oldFile, OLD.substring(0, 90));
    assertEquals(2, migrate(oldFile.toString(), "--out", newFile.toString()));
    assertTrue(errors.startsWith("wheattrack migrate: old.json: unreadable"), errors);
    assertFalse(Files.exists(newFile));
  }
}
