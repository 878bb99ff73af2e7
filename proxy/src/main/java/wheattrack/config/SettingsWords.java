package wheattrack.config;

import java.util.List;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;

/** The words that settings use for enumerated values, and what they stand for. */
final class SettingsWords {
  private static final String READ_LIKE = "read_like";
  private static final String IDEMPOTENCY_KEY = "idempotency_key";
  private static final String NON_IDEMPOTENT = "non_idempotent";

  /** The words for a class's idempotency, its key `effect`. */
  static final List<String> IDEMPOTENCY = List.of(READ_LIKE, IDEMPOTENCY_KEY, NON_IDEMPOTENT);

  /** The deduplication scope of all backends, the default of the key `group`. */
  static final String SCOPE_ALL = "all";

  /** The deduplication scope of one zone. */
  static final String SCOPE_ZONE = "zone";

  private static final String SCOPE_CELL = "cell";

  /** The words for a class's deduplication scope, its key `group`. */
  static final List<String> DEDUPLICATION_SCOPE = List.of(SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL);

  /** Backends report no load: the default of the key `report.how`. */
  static final String REPORTS_NONE = "none";

  /** Backends report their load in a header of their answers. */
  static final String REPORTS_IN_ANSWERS = "answers";

  /** Backends report their load only when probed. */
  static final String REPORTS_BY_PROBE = "probe";

  /** The words for how load reports come, the key `report.how`. */
  static final List<String> REPORTS = List.of(REPORTS_NONE, REPORTS_IN_ANSWERS, REPORTS_BY_PROBE);

  private SettingsWords() {}

  /** The idempotency that a word stands for; any other word stands for the most careful one. */
  static Idempotency idempotency(String word) {
    return switch (word) {
      case READ_LIKE -> Idempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  /** The scope that a word stands for; any other word stands for the narrowest one. */
  static DeduplicationScope deduplicationScope(String word) {
    return switch (word) {
      case SCOPE_ALL -> DeduplicationScope.ALL;
      case SCOPE_ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }
}
