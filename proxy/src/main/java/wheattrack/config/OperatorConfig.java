package wheattrack.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operators' own file: what this installation switches on beside what the platform tells. All
 * of it is off by default; later parts add their tables here. Errors are {@link
 * InvalidConfigurationException} and name file, line, key.
 */
public final class OperatorConfig {
  /**
   * The log's form, how many lines a second an event may have (0: all), whether reqs have lines.
   */
  public record LogSettings(boolean json, int linesPerSecond, boolean requests) {}

  /** What holds where there is no file, in the file's own form. */
  public static final String DEFAULTS =
      """
# What the operators of an installation switch on. Each key stands here with its default.

[log]
format = "plain"              # or "json": an object a line
lines-per-second = 0          # an event's, the rest is counted; 0: all
reqs = false                  # a line for each dispatch's outcome and each req's end, by its id

[reports]
answers-header = ""           # of a backend's answers, its load as a JSON object; "": none carries it

[settings]
source = ""                   # address in figures of a source whose settings are watched; "": none is
scope = ""                    # names that go with requests for settings and list, by commas; "": all
""";

  public final LogSettings log;

  /** The header of answers that carries a backend's load report; empty where none does. */
  public final String loadHeader;

  /** Where settings are watched, or null; and the scope that goes with requests, empty for all. */
  public final InetSocketAddress settingsSource;

  public final String scope;

  private OperatorConfig(ConfigurationReader t) {
    ConfigurationReader l = t.section("log");
    log =
        new LogSettings(
            l.choice("format", List.of("plain", "json")).equals("json"),
            l.integer("lines-per-second", 0, 0, 1_000_000),
            l.flag("reqs", false));
    ConfigurationReader r = t.section("reports");
    loadHeader = r.text("answers-header", "");
    if (!loadHeader.matches("[A-Za-z0-9-]{0,64}")) {
      throw r.fault("answers-header", "'" + loadHeader + "' is no header's name");
    }
    ConfigurationReader s = t.section("settings");
    String at = s.text("source", "");
    try {
      settingsSource = at.isEmpty() ? null : SocketAddressParser.parse("source", at);
    } catch (InvalidConfigurationException e) {
      throw s.fault("source", "not an address in figures with a port: " + at);
    }
    scope = s.text("scope", "");
    if (!scope.matches("([A-Za-z0-9._-]{1,64}(,[A-Za-z0-9._-]{1,64}){0,255})?")) {
      throw s.fault("scope", "no names of letters, figures, '.', '_', '-' by commas, 256 at most");
    }
    t.rejectUnknownKeys();
  }

  public static OperatorConfig read(Path file) {
    return new OperatorConfig(ConfigurationReader.read(file));
  }

  /** Reads a text; name stands for the file in errors. */
  public static OperatorConfig of(String name, String text) {
    return new OperatorConfig(ConfigurationReader.of(name, text));
  }

  /** Without a file; no TOML is read, as a start has no time for it. */
  public static LogSettings plainLog() {
    return new LogSettings(false, 0, false);
  }
}
