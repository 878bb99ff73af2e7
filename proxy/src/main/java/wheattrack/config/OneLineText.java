package wheattrack.config;

import java.util.regex.Pattern;

/** Makes texts from outside safe to put into a message of one line. */
public final class OneLineText {
  /** How much of a value a message quotes, in Unicode code points. */
  private static final int MAX_QUOTED_CHARACTERS = 100;

  /** Code points below 0x20 and from 0x7f to 0x9f, and the two Unicode separators of lines. */
  private static final Pattern CONTROL_OR_LINE_BREAK = Pattern.compile("[\\p{Cc}\\u2028\\u2029]");

  private OneLineText() {}

  /** The text with each control character and line break replaced by a question mark. */
  public static String of(String text) {
    return CONTROL_OR_LINE_BREAK.matcher(text).replaceAll("?");
  }

  /**
   * The value in single quotes, for a message, with control characters and line breaks replaced as
   * by {@link #of}. A value of more than 100 characters is cut there, and an ellipsis marks the
   * cut.
   */
  public static String quoted(String value) {
    if (value.codePointCount(0, value.length()) <= MAX_QUOTED_CHARACTERS) {
      return "'" + of(value) + "'";
    }
    int end = value.offsetByCodePoints(0, MAX_QUOTED_CHARACTERS);
    return "'" + of(value.substring(0, end)) + "…'";
  }
}
