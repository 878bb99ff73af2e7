package wheattrack.config;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the line of a key in a TOML file, for error messages. */
final class TomlKeyLocator {
  private static final String KEY_SEGMENT = "\\s*(\"[^\"]*\"|[A-Za-z0-9_-]+)\\s*";

  private final String fileName;
  private final List<String> lines;

  TomlKeyLocator(String fileName, String text) {
    this.fileName = fileName;
    lines = Arrays.asList(text.split("\r?\n", -1));
  }

  String fileName() {
    return fileName;
  }

  /**
   * The line of a key, counted from 1. If the file does not have the key, the line of the nearest
   * table around it; 1 if there is none.
   */
  int lineOf(String path) {
    String candidate = path;
    while (!candidate.isEmpty()) {
      int line = exactLineOf(candidate);
      if (line > 0) {
        return line;
      }
      candidate = candidate.contains(".") ? candidate.substring(0, candidate.lastIndexOf('.')) : "";
    }
    return 1;
  }

  /** The line of a table or a key, or 0. */
  private int exactLineOf(String path) {
    Map<String, Integer> arrayTableCounts = new HashMap<>();
    String table = "";
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      String linePath = null;
      if (isKeyValue(line)) {
        String key = unquoted(line.substring(0, line.indexOf('=')));
        linePath = table.isEmpty() ? key : table + "." + key;
      } else if (line.startsWith("[")) {
        table = tablePath(line, arrayTableCounts);
        linePath = table;
      }
      if (path.equals(linePath)) {
        return i + 1;
      }
    }
    return 0;
  }

  /** The path of the table that a heading opens; counts the tables of each array. */
  private static String tablePath(String heading, Map<String, Integer> arrayTableCounts) {
    boolean isArrayTable = heading.startsWith("[[");
    int nameStart = isArrayTable ? 2 : 1;
    String name = unquoted(heading.substring(nameStart, Math.max(nameStart, heading.indexOf(']'))));
    if (!isArrayTable) {
      return name;
    }
    int index = arrayTableCounts.merge(name, 1, Integer::sum) - 1;
    return name + "[" + index + "]";
  }

  private static boolean isKeyValue(String line) {
    return !line.startsWith("[") && !line.startsWith("#") && line.indexOf('=') > 0;
  }

  private static String unquoted(String key) {
    return key.replaceAll(KEY_SEGMENT, "$1").replace("\"", "");
  }
}
