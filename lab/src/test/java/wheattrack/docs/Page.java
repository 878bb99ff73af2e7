package wheattrack.docs;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A page in Markdown: its code spans and its tables. */
record Page(String name, String text) {
  private static final Pattern FENCED_BLOCK = Pattern.compile("(?ms)^```.*?^```\\s*$");

  /**
   * A code span ends within its paragraph, so that an unpaired backtick does not swap code and text
   * in the rest of the page.
   */
  private static final Pattern CODE_SPAN = Pattern.compile("`((?:(?!\\n\\s*\\n)[^`])+)`");

  private static final Pattern HEADING = Pattern.compile("(#+) (.*)");
  private static final Pattern UNESCAPED_BAR = Pattern.compile("(?<!\\\\)\\|");

  /** One row of a table, with the table's header and the headings above the table. */
  record TableRow(List<String> headings, List<String> header, List<String> cells) {
    /** The cell in the last column; empty if the row is shorter than the header. */
    String lastCell() {
      return cells.size() < header.size() ? "" : cells.get(header.size() - 1);
    }
  }

  static Page read(Repository repository, String name) {
    return new Page(name, repository.read(name));
  }

  /** All code spans outside fenced blocks, with line breaks replaced by spaces. */
  List<String> codeSpans() {
    return codeSpans(FENCED_BLOCK.matcher(text).replaceAll(""));
  }

  /** The code spans of one piece of text. */
  static List<String> codeSpans(String text) {
    return CODE_SPAN
        .matcher(text)
        .results()
        .map(span -> span.group(1).replaceAll("\\s+", " ").strip())
        .toList();
  }

  /** The rows of all tables in the order of the page. */
  List<TableRow> tableRows() {
    List<TableRow> rows = new ArrayList<>();
    List<String> headings = new ArrayList<>();
    List<String> header = null;
    for (String line : text.split("\n")) {
      Matcher heading = HEADING.matcher(line);
      if (heading.matches()) {
        enterHeading(headings, heading.group(1).length(), heading.group(2));
      }
      if (!line.startsWith("|")) {
        header = null;
      } else if (header == null) {
        header = cells(line);
      } else if (!isSeparator(line)) {
        rows.add(new TableRow(List.copyOf(headings), header, cells(line)));
      }
    }
    return rows;
  }

  /**
   * Replaces the headings of this and lower levels by the new one. A level that the page skips gets
   * an empty heading.
   */
  private static void enterHeading(List<String> headings, int level, String title) {
    while (headings.size() >= level) {
      headings.remove(headings.size() - 1);
    }
    while (headings.size() < level - 1) {
      headings.add("");
    }
    headings.add(title);
  }

  private static boolean isSeparator(String line) {
    return line.matches("[|\\s:-]+");
  }

  private static List<String> cells(String line) {
    String inner = line.strip().replaceAll("^\\||(?<!\\\\)\\|$", "");
    return Arrays.stream(UNESCAPED_BAR.split(inner, -1)).map(String::strip).toList();
  }
}
