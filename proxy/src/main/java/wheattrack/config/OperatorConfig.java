package wheattrack.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operators' own TOML file: what an installation switches on beside its proxy configuration.
 * Everything is off by default. Immutable. Errors are {@link InvalidConfigurationException} and
 * name file, line and key.
 */
public final class OperatorConfig {
  /**
   * How the log is written.
   *
   * @param isJson whether lines are JSON objects rather than plain text
   * @param maxLinesPerSecond how many lines a second one event may have; 0: any number
   * @param logsRequests whether attempts and requests have lines of their own
   */
  public record LogSettings(boolean isJson, int maxLinesPerSecond, boolean logsRequests) {
    /** The settings without an operators' file; for a start that has no time to parse TOML. */
    public static final LogSettings DEFAULTS = new LogSettings(false, 0, false);
  }

  /** The defaults, as the text of an operators' file. */
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

  private static final String HEADER_NAME = "[A-Za-z0-9-]{0,64}";
  private static final String SCOPE_NAMES = "([A-Za-z0-9._-]{1,64}(,[A-Za-z0-9._-]{1,64}){0,255})?";

  private final LogSettings log;
  private final String loadReportHeader;
  private final InetSocketAddress settingsSource;
  private final String settingsScope;

  private OperatorConfig(ConfigurationReader root) {
    log = readLog(root.section("log"));
    loadReportHeader = readLoadReportHeader(root.section("reports"));
    ConfigurationReader settings = root.section("settings");
    settingsSource = readSettingsSource(settings);
    settingsScope = readSettingsScope(settings);
    root.rejectUnknownKeys();
  }

  private static LogSettings readLog(ConfigurationReader section) {
    return new LogSettings(
        section.choice("format", List.of("plain", "json")).equals("json"),
        section.integer("lines-per-second", 0, 0, 1_000_000),
        section.flag("reqs", false));
  }

  private static String readLoadReportHeader(ConfigurationReader section) {
    String header = section.text("answers-header", "");
    if (!header.matches(HEADER_NAME)) {
      throw section.fault("answers-header", "'" + header + "' is no header's name");
    }
    return header;
  }

  private static InetSocketAddress readSettingsSource(ConfigurationReader section) {
    String source = section.text("source", "");
    try {
      return source.isEmpty() ? null : SocketAddressParser.parse("source", source);
    } catch (InvalidConfigurationException e) {
      // thrown anew to name file and line
      throw section.fault("source", "not an address in figures with a port: " + source);
    }
  }

  private static String readSettingsScope(ConfigurationReader section) {
    String scope = section.text("scope", "");
    if (!scope.matches(SCOPE_NAMES)) {
      throw section.fault(
          "scope", "no names of letters, figures, '.', '_', '-' by commas, 256 at most");
    }
    return scope;
  }

  /**
   * Reads an operators' file.
   *
   * @throws InvalidConfigurationException if it can't be read or used
   */
  public static OperatorConfig read(Path file) {
    return new OperatorConfig(ConfigurationReader.read(file));
  }

  /**
   * Reads a text.
   *
   * @param fileName stands for the file in errors
   * @throws InvalidConfigurationException if it can't be used
   */
  public static OperatorConfig of(String fileName, String text) {
    return new OperatorConfig(ConfigurationReader.of(fileName, text));
  }

  /** How the log is written. */
  public LogSettings log() {
    return log;
  }

  /** The header of responses that carries a backend's load report; empty if none does. */
  public String loadReportHeader() {
    return loadReportHeader;
  }

  /** The source whose settings are watched, or null. */
  public InetSocketAddress settingsSource() {
    return settingsSource;
  }

  /** The scope sent with requests for settings and endpoints, names by commas; empty for all. */
  public String settingsScope() {
    return settingsScope;
  }
}
