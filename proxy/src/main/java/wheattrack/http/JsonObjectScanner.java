package wheattrack.http;

/**
 * Finds where each JSON object in a stream of bytes ends, or each line that is no object. Runs on
 * the event loop's thread only.
 */
final class JsonObjectScanner {
  private static final String OPENING_BRACKETS = "{[";
  private static final String CLOSING_BRACKETS = "}]";

  /** Where the scan is with regard to JSON strings, in which brackets have no meaning. */
  private enum State {
    OUTSIDE_STRING,
    IN_STRING,
    /** In a string, after a backslash that escapes the next character. */
    IN_ESCAPE
  }

  private State state = State.OUTSIDE_STRING;
  private int depth; // brackets open
  private boolean isAfterObject; // on the line on which an object ended

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

  /** Whether the line that ends now has no object on it and is not part of one. */
  private boolean endsPlainLine() {
    boolean isPlain = depth == 0 && !isAfterObject;
    isAfterObject = false;
    return isPlain;
  }
}
