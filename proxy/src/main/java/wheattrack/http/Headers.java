package wheattrack.http;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The header lines of a message, in their order. Names are compared ignoring case. Mutable and not
 * thread-safe.
 */
public final class Headers {
  /** Returned by {@link #contentLength} where no length is given. */
  static final long NO_LENGTH = -1;

  /** The initial capacity, in lines. */
  private static final int INITIAL_CAPACITY = 8;

  /** The most digits of a length in bytes; any number of this many digits fits into a long. */
  private static final int MAX_LENGTH_DIGITS = 15;

  private static final Pattern LENGTH = Pattern.compile("[0-9]{1," + MAX_LENGTH_DIGITS + "}");

  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";

  /** The memory, in bytes, that a line takes beyond its characters. */
  private static final int LINE_OVERHEAD = 128;

  private final List<String> names = new ArrayList<>(INITIAL_CAPACITY);
  private final List<String> values = new ArrayList<>(INITIAL_CAPACITY);

  /** Appends a line to these headers, and returns them. */
  public Headers with(String name, String value) {
    names.add(name);
    values.add(value);
    return this;
  }

  /** The number of lines. */
  public int size() {
    return names.size();
  }

  /** The memory that these headers take, in bytes; estimated. */
  long heldBytes() {
    long bytes = 0;
    for (int i = 0; i < names.size(); i++) {
      bytes += names.get(i).length() + values.get(i).length() + LINE_OVERHEAD;
    }
    return bytes;
  }

  /** The name on the line with this index, in the case in which it was given. */
  public String name(int index) {
    return names.get(index);
  }

  /** The value on the line with this index. */
  public String value(int index) {
    return values.get(index);
  }

  /** The value of the first line with this name, or null. */
  public String first(String name) {
    for (int i = 0; i < names.size(); i++) {
      if (isNamed(i, name)) {
        return values.get(i);
      }
    }
    return null;
  }

  /**
   * Whether a header with this name contains the token in its comma-separated value. Case is
   * ignored in both.
   */
  public boolean containsToken(String name, String token) {
    for (int i = 0; i < names.size(); i++) {
      if (isNamed(i, name) && listContains(values.get(i), token)) {
        return true;
      }
    }
    return false;
  }

  private static boolean listContains(String commaSeparatedList, String token) {
    for (String element : commaSeparatedList.split(",")) {
      if (element.trim().equalsIgnoreCase(token)) {
        return true;
      }
    }
    return false;
  }

  private boolean isNamed(int index, String name) {
    return names.get(index).equalsIgnoreCase(name);
  }

  /**
   * The length of the body that these headers give, or {@link #NO_LENGTH}.
   *
   * @throws MalformedMessageException if a Content-Length is not a number or two of them differ
   */
  long contentLength() throws MalformedMessageException {
    long length = NO_LENGTH;
    for (int i = 0; i < names.size(); i++) {
      if (isNamed(i, CONTENT_LENGTH)) {
        long lineLength = parseLength(values.get(i));
        if (length != NO_LENGTH && length != lineLength) {
          throw new MalformedMessageException(
              StatusCode.BAD_REQUEST,
              "Content-Length headers differ: " + length + " and " + lineLength);
        }
        length = lineLength;
      }
    }
    return length;
  }

  private static long parseLength(String value) throws MalformedMessageException {
    if (!LENGTH.matcher(value).matches()) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST,
          "Content-Length: expected 1 to " + MAX_LENGTH_DIGITS + " digits, got " + value);
    }
    return Long.parseLong(value);
  }

  /**
   * Whether the body is in the chunked transfer coding.
   *
   * @throws MalformedMessageException if it has another transfer coding, or a Content-Length as
   *     well: two recipients of such a message could disagree on where it ends (request smuggling)
   */
  boolean isChunked() throws MalformedMessageException {
    boolean isChunked = false;
    for (int i = 0; i < names.size(); i++) {
      if (isNamed(i, TRANSFER_ENCODING)) {
        if (isChunked || !values.get(i).equalsIgnoreCase("chunked")) {
          throw new MalformedMessageException(
              StatusCode.BAD_REQUEST, "Transfer-Encoding: expected chunked once");
        }
        isChunked = true;
      }
    }
    if (isChunked && first(CONTENT_LENGTH) != null) {
      throw new MalformedMessageException(
          StatusCode.BAD_REQUEST, "Content-Length and Transfer-Encoding: expected only one");
    }
    return isChunked;
  }
}
