package wheattrack.lab.report;

/** The dimensions, in pixels, and the time scale that the plots of a report share. */
final class PlotArea {
  static final int WIDTH = 900;
  static final int HEIGHT = 220;

  /** Width of the labels at the left of a plot. */
  static final int LEFT = 56;

  /** Height of the labels below a plot. */
  static final int BASE = 24;

  /** Right end of the curves, in pixels from the left. */
  static final int RIGHT = WIDTH - 10;

  /** Space right of an axis whose last label is centred at its end. */
  static final int LAST_LABEL_MARGIN = 30;

  /** Height of the part that the curves use, without the labels. */
  static final int CURVE_HEIGHT = HEIGHT - BASE - 10;

  /** Height of all rows of backends together, as far as the bounds of a row's height allow it. */
  private static final int ROWS_HEIGHT = 420;

  /** Highest fraction that is drawn: a little above the plot's upper end. */
  private static final double MAX_FRACTION = 1.02;

  private static final int MIN_ROW_HEIGHT = 4;
  private static final int MAX_ROW_HEIGHT = 14;

  /** Lowest height of rows that have a label each. */
  private static final int MIN_LABELLED_ROW_HEIGHT = 10;

  private static final String[] COLOURS = {"#1b6ca8", "#c0504d", "#5a8f3c", "#8064a2", "#d08a1e"};

  private final double seconds;

  /**
   * Creates the area of a run's plots.
   *
   * @param seconds the length of the run
   */
  PlotArea(double seconds) {
    this.seconds = seconds;
  }

  double seconds() {
    return seconds;
  }

  /** The horizontal place of a time of the run, in pixels from the left. */
  double x(double second) {
    return LEFT + (RIGHT - LEFT) * second / Math.max(1, seconds);
  }

  /** The vertical place of a fraction of the curves' height, in pixels from the top. */
  static double y(double fraction) {
    return HEIGHT - BASE - CURVE_HEIGHT * Math.max(0, Math.min(MAX_FRACTION, fraction));
  }

  /** The colour of the run of this index. */
  static String colour(int run) {
    return COLOURS[run % COLOURS.length];
  }

  /** The height of each of this number of rows. */
  static int rowHeight(int rows) {
    return Math.max(MIN_ROW_HEIGHT, Math.min(MAX_ROW_HEIGHT, ROWS_HEIGHT / Math.max(1, rows)));
  }

  /** The height of a plot of rows with its labels. */
  static int rowsHeight(int rows) {
    return rows * rowHeight(rows) + BASE + 10;
  }

  /** Adds the label at the left of a row; of low rows only one in ten has a label. */
  static void addRowLabel(HtmlWriter html, int row, int rowHeight, int label) {
    if (rowHeight >= MIN_LABELLED_ROW_HEIGHT || row % 10 == 0) {
      html.add(
          "<text x='%d' y='%d' text-anchor='end'>%d</text>",
          LEFT - 6, rowTop(row, rowHeight) + rowHeight - 2, label);
    }
  }

  /** The top of a row, in pixels from the top of the plot. */
  static int rowTop(int row, int rowHeight) {
    return 6 + row * rowHeight;
  }
}
