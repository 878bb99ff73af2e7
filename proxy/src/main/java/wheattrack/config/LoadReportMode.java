package wheattrack.config;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** How backends report their load: the key `report.how` of the settings. */
enum LoadReportMode {
  /** They report none. */
  NONE("none"),
  /** In a header of their responses. */
  IN_RESPONSES("answers"),
  /** In their responses to load probes only. */
  BY_PROBE("probe");

  /** The keywords of all modes. */
  static final List<String> KEYWORDS =
      Arrays.stream(values()).map(LoadReportMode::keyword).toList();

  private final String keyword;

  LoadReportMode(String keyword) {
    this.keyword = keyword;
  }

  /** The mode as settings have it. */
  String keyword() {
    return keyword;
  }

  /** The mode with this keyword, if there is one. */
  static Optional<LoadReportMode> find(String keyword) {
    return Arrays.stream(values()).filter(mode -> mode.keyword.equals(keyword)).findFirst();
  }
}
