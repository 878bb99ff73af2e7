package wheattrack.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheattrack.config.InvalidConfigurationException;

/**
 * Runs three axes of {@code lab scale} with few points and no reference proxies, and checks counts
 * and bytes, which do not depend on the machine's speed.
 */
class ScaleTest {
  /** Upper bound of the bytes of one entry of a list. */
  private static final double ENTRY_BYTES = 160;

  /** Upper bound of the bytes of a change apart from its entries. */
  private static final double FRAME_BYTES = 60;

  /** Upper bound of the bytes of heartbeats that are counted with a change. */
  private static final double HEARTBEAT_BYTES = 60;

  /** Bounds of the bytes that each further rule set adds to the configuration file. */
  private static final double MIN_RULE_SET_BYTES = 80;

  private static final double MAX_RULE_SET_BYTES = 200;

  @TempDir Path directory;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  private AxisMeasurements measure(String axis, String points, boolean sendsSnapshots)
      throws IOException {
    return ScaleCommand.run(
            new ScaleCommand.ScaleOptions(
                Path.of(".."), axis, points, 1, directory, 0, sendsSnapshots, false),
            new PrintStream(output))
        .get(0);
  }

  private static double metric(AxisMeasurements measurements, int row, String name) {
    return measurements.rows().get(row).metrics().get(name);
  }

  /**
   * Whether a change sends each watcher no more than the one changed entry, however long the list
   * is. The bound leaves room for nearly twice the bytes of an entry.
   */
  private static boolean areChangeBytesBounded(AxisMeasurements measurements) {
    return measurements.rows().stream()
        .allMatch(
            row -> row.metrics().get("change_bytes") < ENTRY_BYTES + FRAME_BYTES + HEARTBEAT_BYTES);
  }

  @Test
  void listBytesGrowWithEntriesAndChangeBytesDoNot() throws Exception {
    AxisMeasurements measurements = measure("backends", "50,200,800", false);
    for (int i = 0; i < 3; i++) {
      double point = measurements.rows().get(i).point();
      assertEquals(point, metric(measurements, i, "known"), output.toString());
      assertEquals(0, metric(measurements, i, "untold"), output.toString());
      double listBytes = metric(measurements, i, "list_kb") * ByteUnits.KIB;
      assertTrue(
          listBytes > 0.5 * ENTRY_BYTES * point && listBytes < ENTRY_BYTES * point + 1000,
          output.toString());
    }
    assertTrue(areChangeBytesBounded(measurements), output.toString());
    assertTrue(
        Files.readString(directory.resolve("scale.html")).contains("polyline"),
        "scale.html has no curve");
    assertEquals(
        3, Files.readAllLines(directory.resolve("scale.jsonl")).size(), "lines of scale.jsonl");
  }

  /**
   * Guards against a check that cannot fail: the source sends each change as a complete snapshot,
   * so that the bytes of a change grow with the list and those of changing each entry with the
   * square of its length.
   */
  @Test
  void snapshotsInsteadOfChangesAreDetected() throws Exception {
    assertTrue(!areChangeBytesBounded(measure("backends", "50,200,800", true)), output.toString());
  }

  @Test
  void changeBytesPerWatcherDoNotGrowWithWatchers() throws Exception {
    AxisMeasurements measurements = measure("watchers", "20,60,180", false);
    for (int i = 0; i < 3; i++) {
      assertEquals(0, metric(measurements, i, "untold"), output.toString());
    }
    assertTrue(areChangeBytesBounded(measurements), output.toString());
  }

  @Test
  void fileSizeGrowsWithRuleSets() throws Exception {
    AxisMeasurements measurements = measure("rule-sets", "10,100,1000", false);
    double bytesEach =
        (metric(measurements, 2, "file_mb") - metric(measurements, 1, "file_mb"))
            * ByteUnits.MIB
            / (1000 - 100);
    assertTrue(
        bytesEach > MIN_RULE_SET_BYTES && bytesEach < MAX_RULE_SET_BYTES,
        bytesEach + " bytes each");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nothing|10|--axis",
        "backends|0|--points",
        "backends|ten|--points",
        "backends|300000|--points",
        "backends|5,|--points",
        "|5|--points"
      })
  void messageOfBadInputBeginsWithItsOption(String axis, String points, String key) {
    InvalidConfigurationException error =
        assertThrows(InvalidConfigurationException.class, () -> measure(axis, points, false));
    assertTrue(
        error.getMessage().startsWith(key) && !error.getMessage().contains("\n"),
        error.getMessage());
  }

  /**
   * A bound above what the machine allows is bad input; a run that exceeds its bound ends with an
   * exception and leaves no process behind.
   */
  @Test
  void memoryIsBounded() {
    ScaleCommand.ScaleOptions excessive =
        new ScaleCommand.ScaleOptions(
            Path.of(".."), "watchers", "50", 1, null, 1L << 50, false, false);
    assertTrue(
        assertThrows(
                InvalidConfigurationException.class,
                () -> ScaleCommand.run(excessive, new PrintStream(output)))
            .getMessage()
            .startsWith("--memory-mb"));
    ScaleCommand.ScaleOptions limited =
        new ScaleCommand.ScaleOptions(
            Path.of(".."), "watchers", "300", 1, null, 30L << 20, false, false);
    assertThrows(
        ResourceLimitException.class, () -> ScaleCommand.run(limited, new PrintStream(output)));
    assertEquals(
        0,
        ProcessHandle.current()
            .children()
            .filter(ProcessHandle::isAlive)
            .filter(
                p -> p.info().commandLine().orElse("").contains(ControlOnlyMain.class.getName()))
            .count());
  }
}
