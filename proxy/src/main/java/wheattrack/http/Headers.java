package wheattrack.http;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Header lines in their order; names in any case. */
public final class Headers {
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,15}");

  private final List<String> names = new ArrayList<>(8);
  private final List<String> values = new ArrayList<>(8);

  public Headers with(String name, String value) {
    names.add(name);
    values.add(value);
    return this;
  }

  public int size() {
    return names.size();
  }

  public String name(int i) {
    return names.get(i);
  }

  public String value(int i) {
    return values.get(i);
  }

  /** The first of this name, or null. */
  public String first(String name) {
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equalsIgnoreCase(name)) {
        return values.get(i);
      }
    }
    return null;
  }

  /** Whether a list-valued header holds this word. */
  public boolean containsToken(String name, String word) {
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equalsIgnoreCase(name)) {
        for (String part : values.get(i).split(",")) {
          if (part.trim().equalsIgnoreCase(word)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /**
   * The one length these headers give, or -1; two that differ, or one beside chunks, are no
   * message.
   */
  long length() throws MalformedMessageException {
    long length = -1;
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equalsIgnoreCase("Content-Length")) {
        String value = values.get(i);
        if (!LENGTH.matcher(value).matches()) {
          throw new MalformedMessageException(400, "bad length " + value);
        }
        long one = Long.parseLong(value);
        if (length >= 0 && length != one) {
          throw new MalformedMessageException(400, "lengths that differ");
        }
        length = one;
      }
    }
    return length;
  }

  /** Whether the body comes in chunks; any other coding is no message we take. */
  boolean chunked() throws MalformedMessageException {
    String coding = null;
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equalsIgnoreCase("Transfer-Encoding")) {
        if (coding != null || !values.get(i).equalsIgnoreCase("chunked")) {
          throw new MalformedMessageException(400, "unknown transfer coding");
        }
        coding = values.get(i);
      }
    }
    if (coding != null && first("Content-Length") != null) {
      throw new MalformedMessageException(400, "a length beside chunks");
    }
    return coding != null;
  }
}
