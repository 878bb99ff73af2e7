package wheattrack.config;

import java.util.List;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;

/** The keywords of an entry of `ruleSets`, and the enum constants that they stand for. */
final class RequestClassKeywords {
  private static final String READ_LIKE = "read_like";
  private static final String IDEMPOTENCY_KEY = "idempotency_key";
  private static final String NON_IDEMPOTENT = "non_idempotent";

  /** The keywords for a class's idempotency, its key `effect`. */
  static final List<String> IDEMPOTENCY = List.of(READ_LIKE, IDEMPOTENCY_KEY, NON_IDEMPOTENT);

  private static final String ALL = "all";
  private static final String ZONE = "zone";
  private static final String CELL = "cell";

  /** The keywords for a class's deduplication scope, its key `group`. */
  static final List<String> DEDUPLICATION_SCOPE = List.of(ALL, ZONE, CELL);

  private RequestClassKeywords() {}

  /** The idempotency for a keyword; any other text counts as non-idempotent, which is safe. */
  static Idempotency idempotency(String keyword) {
    return switch (keyword) {
      case READ_LIKE -> Idempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  /** The scope for a keyword; any other text counts as the narrowest scope, which is safe. */
  static DeduplicationScope deduplicationScope(String keyword) {
    return switch (keyword) {
      case ALL -> DeduplicationScope.ALL;
      case ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }
}
