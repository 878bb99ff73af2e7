package wheattrack.lab.report;

import java.util.List;
import java.util.Locale;

/** Collects the text of an HTML page; numbers are formatted in the same way in all locales. */
final class HtmlWriter {
  /** A point of a curve, in pixels from the left and from the top. */
  record Point(double x, double y) {}

  private final StringBuilder html = new StringBuilder();

  /** Adds formatted text; the caller has to escape values that may contain markup characters. */
  void add(String format, Object... values) {
    html.append(String.format(Locale.ROOT, format, values));
  }

  /** Adds a curve through points of the plot. */
  void addCurve(String colour, List<Point> points) {
    add("<polyline fill='none' stroke='%s' stroke-width='1.8' points='", colour);
    points.forEach(point -> add("%.1f,%.1f ", point.x, point.y));
    add("'/>");
  }

  /** Opens a drawing of this size in pixels. */
  void openDrawing(int width, int height) {
    add(
        "<svg viewBox='0 0 %d %d' width='%d' height='%d' role='img'>",
        width, height, width, height);
  }

  void closeDrawing() {
    add("</svg>");
  }

  /** Replaces the markup characters of a text by entities. */
  static String escaped(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("'", "&#39;");
  }

  @Override
  public String toString() {
    return html.toString();
  }
}
