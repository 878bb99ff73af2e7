package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import wheattrack.log.EventLog;
import wheattrack.log.JsonLineFormatter;
import wheattrack.log.RateLimitFilter;

class OperatorConfigTest {
  private static void fails(String text, String said) {
    assertEquals(
        said,
        assertThrows(InvalidConfigurationException.class, () -> OperatorConfig.of("o.toml", text))
            .getMessage());
  }

  /**
   * The file that ships, the defaults as printed and an empty file mean the same: nothing is on.
   */
  @Test
  void defaults() throws Exception {
    String shipped = Files.readString(Path.of("../deploy/operator.toml"));
    assertEquals(OperatorConfig.DEFAULTS, shipped);
    for (String text : List.of(shipped, "")) {
      assertEquals(OperatorConfig.LogSettings.DEFAULTS, OperatorConfig.of("o.toml", text).log());
    }
  }

  @Test
  void faultsNameFileLineAndKey() {
    fails("[log]\nformat = \"xml\"\n", "o.toml:2: log.format: 'xml' is none of [plain, json]");
    fails("\n[log]\nformat = \"json\"\nlines = 3\n", "o.toml:4: log.lines: unknown key");
    fails("[logs]\nformat = \"json\"\n", "o.toml:1: logs: unknown key");
    fails(
        "[log]\nlines-per-second = -1\n",
        "o.toml:2: log.lines-per-second: -1.0 is not from 0.0 to 1000000.0");
    fails("[log]\nlines-per-second = 1.5\n", "o.toml:2: log.lines-per-second: 1.5 is not whole");
    fails("[log]\nreqs = 1\n", "o.toml:2: log.reqs: not true or false");
    fails("log = 3\n", "o.toml:1: log: not a table");
    fails(
        "[settings]\nsource = \"here\"\n",
        "o.toml:2: settings.source: not an address in figures with a port: here");
    fails(
        "[settings]\nscope = \"a b\"\n",
        "o.toml:2: settings.scope: no names of letters, figures, '.', "
            + "'_', '-' by commas, 256 at most");
  }

  /** A storm of one event leaves no line of the others out, and is counted. */
  @Test
  void stormsAreCountedNotWritten() {
    List<String> lines = new ArrayList<>();
    JsonLineFormatter form = new JsonLineFormatter();
    RateLimitFilter limit = new RateLimitFilter(2);
    Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord r) {
            r.setInstant(java.time.Instant.ofEpochMilli(lines.isEmpty() ? 1_000 : 1_000 + at));
            if (limit.isLoggable(r)) {
              lines.add(form.format(r).strip());
            }
          }

          @Override
          public void flush() {
            // nothing is held
          }

          @Override
          public void close() {
            // nothing is held
          }
        };
    Logger log = Logger.getLogger("wheattrack");
    var before = log.getLevel();
    log.setLevel(java.util.logging.Level.INFO);
    log.addHandler(handler);
    try {
      for (int i = 0; i < 50; i++) {
        EventLog.info("shut", "7", "silent \"again\"");
      }
      EventLog.info("open", "7", null);
      at = 1_000;
      EventLog.info("shut", "8", "silent");
    } finally {
      log.removeHandler(handler);
      log.setLevel(before);
    }
    String shut =
        "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\",\"event\":\"shut\",\"id\":\"7\","
            + "\"cause\":\"silent \\\"again\\\"\"}";
    assertEquals(
        List.of(
            shut,
            shut,
            "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\","
                + "\"event\":\"open\",\"id\":\"7\"}",
            "{\"time\":\"1970-01-01T00:00:02Z\",\"level\":\"INFO\","
                + "\"event\":\"shut\",\"id\":\"8\",\"cause\":\"silent\",\"left_out\":48}"),
        lines);
  }

  private int at;
}
