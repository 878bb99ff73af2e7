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

/** The short form of `lab scale`: three axes, hollow proxies alone, judged by counts and bytes. */
class ScaleTest {
  /**
   * Bytes of one entry, and of what stands around it in a change; and so much more for signs of
   * life.
   */
  private static final double ENTRY = 160, AROUND = 60, NOISE = 60;

  @TempDir Path folder;

  private final ByteArrayOutputStream said = new ByteArrayOutputStream();

  private AxisMeasurements play(String axis, String points, boolean tellsWhole) throws IOException {
    return ScaleCommand.run(
            new ScaleCommand.Job(Path.of(".."), axis, points, 1, folder, 0, tellsWhole, false),
            new PrintStream(said))
        .get(0);
  }

  private static double figure(AxisMeasurements figures, int row, String name) {
    return figures.rows.get(row).figures().get(name);
  }

  /**
   * One change costs each watcher one entry, whatever is known; twice as far over counts as no
   * slope.
   */
  private static boolean isFlat(AxisMeasurements figures) {
    return figures.rows.stream()
        .allMatch(row -> row.figures().get("change_bytes") < ENTRY + AROUND + NOISE);
  }

  @Test
  void backends() throws Exception {
    AxisMeasurements figures = play("backends", "50,200,800", false);
    for (int i = 0; i < 3; i++) {
      double point = figures.rows.get(i).point();
      assertEquals(point, figure(figures, i, "known"), said.toString());
      assertEquals(0, figure(figures, i, "untold"), said.toString());
      double list = figure(figures, i, "list_kb") * 1024;
      assertTrue(list > 0.5 * ENTRY * point && list < ENTRY * point + 1000, said.toString());
    }
    assertTrue(isFlat(figures), said.toString());
    assertTrue(Files.readString(folder.resolve("scale.html")).contains("polyline"));
    assertEquals(3, Files.readAllLines(folder.resolve("scale.jsonl")).size());
  }

  /**
   * The twin: its source tells each change by the whole list, so that bytes go with the square of
   * size.
   */
  @Test
  void twinIsNoticed() throws Exception {
    assertTrue(!isFlat(play("backends", "50,200,800", true)), said.toString());
  }

  @Test
  void watchers() throws Exception {
    AxisMeasurements figures = play("watchers", "20,60,180", false);
    for (int i = 0; i < 3; i++) {
      assertEquals(0, figure(figures, i, "untold"), said.toString());
    }
    assertTrue(isFlat(figures), said.toString());
  }

  @Test
  void ruleSets() throws Exception {
    AxisMeasurements figures = play("rule-sets", "10,100,1000", false);
    double each = (figure(figures, 2, "file_mb") - figure(figures, 1, "file_mb")) * 1048576 / 900;
    assertTrue(each > 80 && each < 200, each + " bytes each");
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
  void badInput(String axis, String points, String key) {
    InvalidConfigurationException bad =
        assertThrows(InvalidConfigurationException.class, () -> play(axis, points, false));
    assertTrue(
        bad.getMessage().startsWith(key) && !bad.getMessage().contains("\n"), bad.getMessage());
  }

  /** Too much asked of the machine is bad input; over the bound ends the run and its processes. */
  @Test
  void memory() {
    ScaleCommand.Job much =
        new ScaleCommand.Job(Path.of(".."), "watchers", "50", 1, null, 1L << 50, false, false);
    assertTrue(
        assertThrows(
                InvalidConfigurationException.class,
                () -> ScaleCommand.run(much, new PrintStream(said)))
            .getMessage()
            .startsWith("--memory-mb"));
    ScaleCommand.Job little =
        new ScaleCommand.Job(Path.of(".."), "watchers", "300", 1, null, 30L << 20, false, false);
    assertThrows(
        ProcessGroup.OverBound.class, () -> ScaleCommand.run(little, new PrintStream(said)));
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
