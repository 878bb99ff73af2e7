package wheattrack.config;

import java.util.List;
import java.util.Map;

/**
 * The object `settings` of a configuration: what the policy acts on. Its times are in microseconds
 * and are returned in ticks. Immutable as long as nobody changes the underlying map.
 */
public final class Settings extends JsonObjectReader {
  /** The key of the request classes. */
  static final String REQUEST_CLASSES = "ruleSets";

  /** The key of the tenants. */
  static final String TENANTS = "tenants";

  /** The key of the limits on attempts, connections and probes. */
  static final String LIMITS = "limits";

  /** The key of the names of all zones. */
  static final String ZONES = "zones";

  /** The key of the index of this proxy's zone. */
  static final String ZONE = "zone";

  /** The path of the keyword for how backends report their load. */
  static final String LOAD_REPORT_MODE = "report.how";

  /** The key of the number of proxies. */
  static final String PROXY_COUNT = "balancers";

  /** The key of this proxy's index. */
  static final String PROXY_INDEX = "me";

  /** Settings that are a document of their own. */
  public Settings(Map<String, Object> values) {
    super(values);
  }

  /** Settings that are an object of a document; errors name paths in that document. */
  Settings(JsonObjectReader section) {
    super(section);
  }

  /** The number of proxies. */
  int proxyCount() {
    return integer(PROXY_COUNT, 1);
  }

  /** The index of this proxy among all proxies, from 0. */
  int proxyIndex() {
    return integer(PROXY_INDEX, 0);
  }

  /** The names of all zones, as this object orders them. */
  List<?> zones() {
    return list(ZONES);
  }

  /** The index of this proxy's zone in {@link #zones}. */
  int zoneIndex() {
    return integer(ZONE, 0);
  }

  /** The objects that each describe one request class. */
  List<JsonObjectReader> requestClassEntries() {
    return sections(REQUEST_CLASSES);
  }

  /** The objects that each describe one tenant. */
  List<JsonObjectReader> tenantEntries() {
    return sections(TENANTS);
  }

  /**
   * How backends report their load. A keyword that no mode has counts as {@link
   * LoadReportMode#BY_PROBE}: only {@link SettingsValidator} rejects it.
   */
  LoadReportMode loadReportMode() {
    String keyword = text(LOAD_REPORT_MODE, LoadReportMode.NONE.keyword());
    return LoadReportMode.find(keyword).orElse(LoadReportMode.BY_PROBE);
  }

  /** These settings with some of their limits replaced; the others stay. */
  Settings withLimits(Map<String, Object> replacements) {
    Map<String, Object> merged = section(LIMITS).copyOfValues();
    merged.putAll(replacements);
    return new Settings(withSection(LIMITS, merged));
  }
}
