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
    assertFalse(Files.exists(newFile), "new.json was written");
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

  /** Each key that is left to the operator has a line; the new file is valid. */
  @Test
  void migratesWithRemarks() throws Exception {
    assertEquals(1, migrateWithAllOptions());
    assertEquals(
        """
        seed: removed, each proxy draws a random one at its start
        settings.rules.budgetSpan: removed, retries and hedged requests no longer have a budget
        settings.report: set the response header in the operators' file, key answers-header
        settings.prices.crossZone: removed, no request crosses zones where there is only one
        settings.ruleSets[0].group: zone now covers all of the only zone, check that this is intended""",
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
    assertEquals("wheattrack migrate: old.json: --out: new.json exists already", errors);
    assertEquals(migrated, Files.readString(newFile));
    assertEquals(2, fileCount());
  }

  @Test
  void migratedFileIsNotMigratedAgain() throws Exception {
    migrateWithAllOptions();
    assertEquals(0, migrate(newFile.toString(), "--dry-run"));
    assertEquals("new.json: has the shape per-client already, nothing is written", errors);
    assertEquals(2, fileCount());
  }

  @Test
  void dryRunChangesNothing() throws Exception {
    assertEquals(1, migrate(oldFile.toString(), "--dry-run", "--reports", "none"));
    assertTrue(errors.contains("settings.balancers: not changed"), errors);
    assertTrue(output.contains("\"shape\" : \"per-client\""), output);
    assertEquals(1, fileCount());
  }

  /**
   * Guards against a result that is rejected because probing is set in a section `limits` that is
   * missing from the old file and so from the result.
   */
  @Test
  void probeReportsWithoutLimitsSection() throws Exception {
    Files.writeString(oldFile, OLD.replace("\"limits\": {\"probing\": false},", ""));
    assertEquals(1, migrate(oldFile.toString(), "--out", newFile.toString(), "--reports", "probe"));
    assertTrue(
        ProxyConfig.read(newFile).settings().flag("limits.probing"), "limits.probing is not true");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "--me|2|--me: expected settings.me to be 0 or more and less than "
            + "settings.balancers (2), got 2",
        "--place|c|--place: expected one of settings.zones, [a, b], got 'c'",
        "--reports|probe|--reports: expected another mode than probe, "
            + "as settings.limits.probing is false",
        "--balancers|many|--balancers: expected a whole number, got 'many'"
      })
  void invalidOptionWritesNothing(String option, String value, String message) {
    assertFails("old.json: " + message, oldFile, option, value);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[{\"name\": \"t\", \"quotaPerS\": 50}]|7|settings.tenants: expected a list, got a number",
        "\"zone\": 1|\"zoned\": 1|settings.zoned: unknown key",
        "\"zone\": 1|\"zone\": 2|settings.zone: expected an index in zones, from 0 to 1, got 2"
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
    assertFalse(Files.exists(newFile), "new.json was written");
  }
}
