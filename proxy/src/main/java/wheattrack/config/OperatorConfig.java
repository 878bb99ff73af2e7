package wheattrack.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operators' own TOML file: optional features that an installation switches on. All are off by
 * default. Errors are {@link InvalidConfigurationException} and name file, line and key.
 *
 * @param log how the log is written
 * @param loadReportHeader the header of responses that carries a backend's load report; empty if
 *     none does
 * @param settingsSource the source whose settings are watched, or null
 * @param settingsScope the scope sent with requests for settings and endpoints: names separated by
 *     commas; empty for all
 */
public record OperatorConfig(
    LogSettings log,
    String loadReportHeader,
    InetSocketAddress settingsSource,
    String settingsScope) {
  /**
   * How the log is written.
   *
   * @param isJson whether lines are JSON objects rather than plain text
   * @param maxLinesPerSecond the most lines of one event per second; 0 for no limit
   * @param logsRequests whether attempts and requests have lines of their own
   */
  public record LogSettings(boolean isJson, int maxLinesPerSecond, boolean logsRequests) {
    /** The settings without an operators' file; a constant, so that no TOML is parsed for them. */
    public static final LogSettings DEFAULTS = new LogSettings(false, 0, false);
  }

  /** The defaults, as the text of an operators' file. */
  public static final String DEFAULTS =
      """
# Optional features that the operators of an installation switch on. Each key has its default here.

[log]
format = "plain"              # or "json": one JSON object per line
lines-per-second = 0          # the most lines of one event per second, others are counted; 0: no limit
reqs = false                  # a line for each attempt's outcome and each request's end, with its id

[reports]
answers-header = ""           # header of responses with the load of a backend as a JSON object; "": none

[settings]
source = ""                   # numeric IP address and port of a settings source to watch; "": none
scope = ""                    # names for requests of settings and endpoints, with commas between; "": all
""";

  private static final String HEADER_NAME = "[A-Za-z0-9-]{0,64}";
  private static final String SCOPE_NAMES = "([A-Za-z0-9._-]{1,64}(,[A-Za-z0-9._-]{1,64}){0,255})?";

  private static final int MAX_LINES_PER_SECOND = 1_000_000;

  /**
   * Reads an operators' file.
   *
   * @throws InvalidConfigurationException if it can't be read or used
   */
  public static OperatorConfig read(Path file) {
    return of(ConfigurationReader.read(file));
  }

  /**
   * Reads a text.
   *
   * @param fileName stands for the file in errors
   * @throws InvalidConfigurationException if it can't be used
   */
  public static OperatorConfig of(String fileName, String text) {
    return of(ConfigurationReader.of(fileName, text));
  }

  private static OperatorConfig of(ConfigurationReader root) {
    LogSettings log = readLog(root.section("log"));
    String loadReportHeader = readLoadReportHeader(root.section("reports"));
    ConfigurationReader settings = root.section("settings");
    InetSocketAddress settingsSource = readSettingsSource(settings);
    String settingsScope = readSettingsScope(settings);
    root.rejectUnknownKeys();
    return new OperatorConfig(log, loadReportHeader, settingsSource, settingsScope);
  }

  private static LogSettings readLog(ConfigurationReader section) {
    return new LogSettings(
        section.choice("format", List.of("plain", "json")).equals("json"),
        section.integer("lines-per-second", 0, 0, MAX_LINES_PER_SECOND),
        section.flag("reqs", false));
  }

  private static String readLoadReportHeader(ConfigurationReader section) {
    String header = section.text("answers-header", "");
    if (!header.matches(HEADER_NAME)) {
      throw section.fault(
          "answers-header",
          "expected a header name of at most 64 letters, digits and '-', got "
              + OneLineText.quoted(header));
    }
    return header;
  }

  private static InetSocketAddress readSettingsSource(ConfigurationReader section) {
    String source = section.text("source", "");
    try {
      return source.isEmpty() ? null : SocketAddressParser.parse("source", source);
    } catch (InvalidConfigurationException e) {
      // the parser does not know the file and the line
      throw section.fault("source", "expected a numeric IP address with a port, got " + source);
    }
  }

  private static String readSettingsScope(ConfigurationReader section) {
    String scope = section.text("scope", "");
    if (!scope.matches(SCOPE_NAMES)) {
      throw section.fault(
          "scope",
          "expected at most 256 names separated by commas,"
              + " each of 1 to 64 letters, digits, '.', '_' and '-', got "
              + OneLineText.quoted(scope));
    }
    return scope;
  }
}
