package wheattrack.lab.scenario;

import java.util.Arrays;
import java.util.List;

/** How a metric is compared with the bound of an expectation. */
public enum Comparison {
  AT_LEAST(">="),
  AT_MOST("<="),
  GREATER(">"),
  LESS("<"),
  EQUAL("=");

  private final String sign;

  Comparison(String sign) {
    this.sign = sign;
  }

  /** The sign of this comparison in scenario files and reports. */
  public String sign() {
    return sign;
  }

  /** The signs of all comparisons, in the order of the constants. */
  static List<String> signs() {
    return Arrays.stream(values()).map(Comparison::sign).toList();
  }

  /** The comparison of a sign, which has to be one of {@link #signs}. */
  static Comparison ofSign(String sign) {
    return values()[signs().indexOf(sign)];
  }

  /** Whether the comparison of the value with the bound is true. */
  boolean holds(double value, double bound) {
    return switch (this) {
      case AT_LEAST -> value >= bound;
      case AT_MOST -> value <= bound;
      case GREATER -> value > bound;
      case LESS -> value < bound;
      case EQUAL -> value == bound;
    };
  }
}
