package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import wheattrack.log.EventLog;
import wheattrack.log.JsonLineFormatter;
import wheattrack.log.RateLimitFilter;

/** The operators' file, its errors, and the limit on log lines that it sets. */
class OperatorConfigTest {
  /** The time of log records after the first, counted from it. */
  private int elapsedMillis;

  /** The file that ships, the defaults as printed and an empty file mean the same: all is off. */
  @Test
  void shippedFileAndEmptyFileAreDefaults() throws Exception {
    String shipped = Files.readString(Path.of("../deploy/operator.toml"));
    assertEquals(OperatorConfig.DEFAULTS, shipped);
    for (String text : List.of(shipped, "")) {
      assertEquals(OperatorConfig.LogSettings.DEFAULTS, OperatorConfig.of("o.toml", text).log());
    }
  }

  static Stream<Arguments> faultyFiles() {
    return Stream.of(
        arguments(
            "[log]\nformat = \"xml\"\n",
            "o.toml:2: log.format: expected one of [plain, json], got 'xml'"),
        arguments("\n[log]\nformat = \"json\"\nlines = 3\n", "o.toml:4: log.lines: unknown key"),
        arguments("[logs]\nformat = \"json\"\n", "o.toml:1: logs: unknown key"),
        arguments(
            "[log]\nlines-per-second = -1\n",
            "o.toml:2: log.lines-per-second: expected a number from 0.0 to 1000000.0, got -1.0"),
        arguments(
            "[log]\nlines-per-second = 1.5\n",
            "o.toml:2: log.lines-per-second: expected a whole number, got 1.5"),
        arguments("[log]\nreqs = 1\n", "o.toml:2: log.reqs: expected true or false, got a number"),
        arguments("log = 3\n", "o.toml:1: log: expected a table, got a number"),
        arguments(
            "[settings]\nsource = \"here\"\n",
            "o.toml:2: settings.source: expected a numeric IP address with a port, got here"),
        arguments(
            "[settings]\nscope = \"a b\"\n",
            "o.toml:2: settings.scope: expected at most 256 names separated by commas,"
                + " each of 1 to 64 letters, digits, '.', '_' and '-', got 'a b'"));
  }

  @ParameterizedTest
  @MethodSource("faultyFiles")
  void errorNamesFileLineAndKey(String text, String message) {
    InvalidConfigurationException exception =
        assertThrows(InvalidConfigurationException.class, () -> OperatorConfig.of("o.toml", text));
    assertEquals(message, exception.getMessage());
  }

  /** Too many lines of one event are counted instead of written; other events keep their lines. */
  @Test
  void linesOverLimitAreCountedNotWritten() {
    List<String> lines = new ArrayList<>();
    JsonLineFormatter formatter = new JsonLineFormatter();
    RateLimitFilter filter = new RateLimitFilter(2);
    Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord record) {
            record.setInstant(
                Instant.ofEpochMilli(lines.isEmpty() ? 1_000 : 1_000 + elapsedMillis));
            if (filter.isLoggable(record)) {
              lines.add(formatter.format(record).strip());
            }
          }

          @Override
          public void flush() {
            // nothing is buffered
          }

          @Override
          public void close() {
            // nothing is buffered
          }
        };
    Logger logger = Logger.getLogger("wheattrack");
    Level levelBefore = logger.getLevel();
    logger.setLevel(Level.INFO);
    logger.addHandler(handler);
    try {
      for (int i = 0; i < 50; i++) {
        EventLog.info("shut", "7", "silent \"again\"");
      }
      EventLog.info("open", "7", null);
      elapsedMillis = 1_000;
      EventLog.info("shut", "8", "silent");
    } finally {
      logger.removeHandler(handler);
      logger.setLevel(levelBefore);
    }
    String ejectedLine =
        "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\",\"event\":\"shut\",\"id\":\"7\","
            + "\"cause\":\"silent \\\"again\\\"\"}";
    assertEquals(
        List.of(
            ejectedLine,
            ejectedLine,
            "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\","
                + "\"event\":\"open\",\"id\":\"7\"}",
            "{\"time\":\"1970-01-01T00:00:02Z\",\"level\":\"INFO\","
                + "\"event\":\"shut\",\"id\":\"8\",\"cause\":\"silent\",\"left_out\":48}"),
        lines);
  }
}
