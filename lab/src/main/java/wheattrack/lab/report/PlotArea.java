package wheattrack.lab.report;

/** The measures that the plots of a report share, in pixels, and the scale of time. */
final class PlotArea {
  static final int WIDTH = 900;
  static final int HEIGHT = 220;

  /** Width of the labels at the left of a plot. */
  static final int LEFT = 56;

  /** Height of the labels below a plot. */
  static final int BASE = 24;

  /** Where the curves end at the right. */
  static final int RIGHT = WIDTH - 10;

  /** Height of the part that the curves use. */
  static final int CURVE_HEIGHT = HEIGHT - BASE - 10;

  /** Backends' rows are drawn so that all of them are about this high. */
  private static final int ROWS_HEIGHT = 420;

  private static final int MIN_ROW_HEIGHT = 4;
  private static final int MAX_ROW_HEIGHT = 14;

  /** Lower rows than this are too low for a label each. */
  private static final int MIN_LABELLED_ROW_HEIGHT = 10;

  private static final String[] COLOURS = {"#1b6ca8", "#c0504d", "#5a8f3c", "#8064a2", "#d08a1e"};

  private final double seconds;

  /** seconds: the length of the run. */
  PlotArea(double seconds) {
    this.seconds = seconds;
  }

  double seconds() {
    return seconds;
  }

  /** Where a moment of the run lies from left to right. */
  double x(double second) {
    return LEFT + (RIGHT - LEFT) * second / Math.max(1, seconds);
  }

  /** Where a part of the plot's height lies; a little over 1 is still shown. */
  static double y(double part) {
    return HEIGHT - BASE - CURVE_HEIGHT * Math.max(0, Math.min(1.02, part));
  }

  /** The colour of the run of this index. */
  static String colour(int run) {
    return COLOURS[run % COLOURS.length];
  }

  /** The height of each row for this number of them. */
  static int rowHeight(int rows) {
    return Math.max(MIN_ROW_HEIGHT, Math.min(MAX_ROW_HEIGHT, ROWS_HEIGHT / Math.max(1, rows)));
  }

  /** The height of a plot of rows with its labels. */
  static int rowsHeight(int rows) {
    return rows * rowHeight(rows) + BASE + 10;
  }

  /** Adds the label at the left of a row, to each or to one in ten as the height allows. */
  static void addRowLabel(HtmlWriter html, int row, int rowHeight, int label) {
    if (rowHeight >= MIN_LABELLED_ROW_HEIGHT || row % 10 == 0) {
      html.add(
          "<text x='%d' y='%d' text-anchor='end'>%d</text>",
          LEFT - 6, rowTop(row, rowHeight) + rowHeight - 2, label);
    }
  }

  static int rowTop(int row, int rowHeight) {
    return 6 + row * rowHeight;
  }
}
