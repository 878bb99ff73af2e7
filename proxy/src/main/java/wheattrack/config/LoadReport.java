package wheattrack.config;

import java.util.List;

/**
 * What a backend reports of its load, as a JSON object of numbers.
 *
 * @param inFlight the requests that the backend holds, queued ones included; negative if the report
 *     does not say
 * @param queued how many of those requests wait in a queue
 */
public record LoadReport(double inFlight, double queued) {
  /** The field of {@link #inFlight}. */
  static final String IN_FLIGHT_FIELD = "rif";

  /** The field of {@link #queued}. */
  static final String QUEUED_FIELD = "q";

  /** All fields of a report that are read. */
  static final List<String> FIELDS = List.of(IN_FLIGHT_FIELD, QUEUED_FIELD);

  private static final double UNKNOWN = -1;

  /**
   * The report that an object holds.
   *
   * @throws InvalidConfigurationException if a field is not a number
   */
  public static LoadReport of(JsonObjectReader fields) {
    return new LoadReport(fields.number(IN_FLIGHT_FIELD, UNKNOWN), fields.number(QUEUED_FIELD, 0));
  }
}
