package wheattrack.http;

/**
 * Finds the end of each JSON object or array in a stream of bytes, and of each line of other text.
 * Runs on the event loop's thread only.
 */
final class JsonObjectScanner {
  private static final String OPENING_BRACKETS = "{[";
  private static final String CLOSING_BRACKETS = "}]";

  /** Whether the scan is in a JSON string, in which brackets have no meaning. */
  private enum State {
    OUTSIDE_STRING,
    IN_STRING,
    /** In a string, after a backslash that escapes the next character. */
    IN_ESCAPE
  }

  private State state = State.OUTSIDE_STRING;
  private int depth; // the number of open brackets
  private boolean isAfterObject; // whether an object ended on the current line

  /** Whether an object has begun that is not complete. */
  boolean isInObject() {
    return depth > 0;
  }

  /** Scans one more byte; returns whether an object or line ends with it. */
  boolean isEnd(byte c) {
    boolean isEnd = state == State.OUTSIDE_STRING ? scanOutsideString(c) : scanString(c);
    if (isEnd) {
      state = State.OUTSIDE_STRING;
      depth = 0;
    }
    return isEnd;
  }

  /**
   * A line feed, which JSON does not allow in a string, ends the string and the object: otherwise
   * an object that was cut off would be merged with those after it.
   */
  private boolean scanString(byte c) {
    if (state == State.IN_ESCAPE) {
      state = State.IN_STRING;
    } else if (c == '\\') {
      state = State.IN_ESCAPE;
    } else if (c == '"') {
      state = State.OUTSIDE_STRING;
    }
    return c == '\n';
  }

  private boolean scanOutsideString(byte c) {
    if (OPENING_BRACKETS.indexOf(c) >= 0) {
      depth++;
      return false;
    }
    if (CLOSING_BRACKETS.indexOf(c) >= 0) {
      depth--;
      isAfterObject = depth <= 0;
      return isAfterObject;
    }
    if (c == '"' && isInObject()) {
      state = State.IN_STRING;
    }
    return c == '\n' && endsPlainLine();
  }

  /** Whether the line that ends here contains no object and is not part of one. */
  private boolean endsPlainLine() {
    boolean isPlain = depth == 0 && !isAfterObject;
    isAfterObject = false;
    return isPlain;
  }
}
