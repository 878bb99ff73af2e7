package wheattrack.state;

import java.util.Arrays;
import java.util.stream.LongStream;
import wheattrack.statistics.DecayingLinearRegression;

/**
 * The expected cost of a request as a function of its cost hint: {@code baseCost + scale * hint ^
 * exponent}. The constants are fitted to a window of recent hints such that the mean cost is the
 * mean hint; the exponent follows how steeply latencies rise with hints. If the mean of the recent
 * hints suddenly differs from that of the window, this is interpreted as a change of their unit:
 * older hints are dropped, and all costs are rescaled so that a mean request stays as much work as
 * before.
 *
 * <p>Refitting sorts the window, O(n log n) for its 2000 hints, once a second and while the window
 * doubles. Not thread-safe.
 */
public final class CostModel {
  /** Number of hints in the window. */
  public static final int WINDOW_SIZE = 2000;

  /** Number of latest hints that are compared with the window to detect a change of their unit. */
  private static final int RECENT_HINTS = 16;

  /** Smallest change of the mean logarithm that counts as a change of unit: a factor of 8. */
  private static final double MIN_UNIT_CHANGE = Math.log(8);

  /** The same, in standard errors of the mean logarithm of the recent hints. */
  private static final double UNIT_CHANGE_ERRORS = 5;

  /** Hints above this many times the median count as that limit. */
  private static final double MAX_MEDIAN_MULTIPLE = 1000;

  /** Fraction of the mean cost that every request costs at least. */
  private static final double BASE_SHARE = 0.25;

  /** Weight of a latency above the fit, as it may include a wait behind other proxies' requests. */
  private static final double WEIGHT_ABOVE_FIT = 0.1;

  /** Weight of the prior exponent, in requests, where no load is reported. */
  private static final double PRIOR_WEIGHT = 8;

  /** Exponent of the prior where no load is reported. */
  private static final double PRIOR_EXPONENT = 0.5;

  /**
   * Exponent of the prior where backends report load; it has twice the weight, as hints are trusted
   * more.
   */
  private static final double PRIOR_EXPONENT_WITH_REPORTS = 0.8;

  private static final double MIN_EXPONENT = 0.1;

  /** Notified of changes that concern all costs. */
  public interface Listener {
    /** The unit of hints has changed: recent hints are this percentage of earlier ones. */
    void hintUnitChanged(long percent);

    /** All costs known so far are to be multiplied by this factor. */
    void costsRescaled(double factor);
  }

  private final Listener listener;
  private final DecayingLinearRegression latencyFit = new DecayingLinearRegression(WINDOW_SIZE);
  private final double[] window = new double[WINDOW_SIZE];
  private long hintsSeen;
  private boolean requestsCameBeforeHints;
  private double[] sortedHints = {};
  private double[] cumulativeCosts = {0};
  private double maxHint = Integer.MAX_VALUE;
  private double recentLogMean;
  private double windowLogMean;
  private double unitChangeThreshold = MIN_UNIT_CHANGE;
  private boolean loadReported;
  private double exponent = PRIOR_EXPONENT;
  private double scale = 1;
  private double baseCost;
  private double meanCost = 1;
  private double unit = 1;

  /** Creates a model without hints; the listener is called from within {@link #addHint}. */
  CostModel(Listener listener) {
    this.listener = listener;
  }

  /** Sets whether backends report their load; if so, hints are trusted more. */
  void setLoadReported(boolean reported) {
    if (reported && !loadReported) {
      exponent = PRIOR_EXPONENT_WITH_REPORTS;
    }
    loadReported = reported;
  }

  /**
   * Adds the hint of a request to the window.
   *
   * @param hint the hint, above 0
   * @param clientRetry whether the request is a client's retry: under overload one heavy request is
   *     retried many times, which is no change of unit
   * @param requestsBefore requests accepted before this one, with or without hints
   */
  void addHint(int hint, boolean clientRetry, long requestsBefore) {
    window[(int) (hintsSeen++ % WINDOW_SIZE)] = hint;
    requestsCameBeforeHints |= hintsSeen == 1 && requestsBefore > 0;
    if (!clientRetry || recentLogMean == 0) {
      double log = Math.log(Math.min(hint, maxHint));
      recentLogMean =
          recentLogMean == 0 ? log : recentLogMean + (log - recentLogMean) / RECENT_HINTS;
    }
    boolean windowDoubled = (hintsSeen & hintsSeen - 1) == 0;
    if (windowDoubled || hasUnitChanged()) {
      refit();
    }
  }

  /** Fits the model to the window. */
  void refit() {
    if (hintsSeen == 0) {
      return;
    }
    boolean unitChanged = hasUnitChanged();
    if (unitChanged) {
      dropOldHints();
    }
    double previousMeanCost = meanCost;
    int hintCount = (int) Math.min(hintsSeen, WINDOW_SIZE);
    sortedHints = Arrays.copyOf(window, hintCount);
    Arrays.sort(sortedHints);
    maxHint = MAX_MEDIAN_MULTIPLE * sortedHints[hintCount / 2];
    fitConstants(hintCount);
    sumCosts(hintCount);
    if (unitChanged || (requestsCameBeforeHints && hintCount <= RECENT_HINTS)) {
      rescale(meanCost / previousMeanCost);
    }
  }

  private boolean hasUnitChanged() {
    return hintsSeen > RECENT_HINTS
        && Math.abs(recentLogMean - windowLogMean) > unitChangeThreshold;
  }

  private void dropOldHints() {
    double[] latest =
        LongStream.range(hintsSeen - RECENT_HINTS, hintsSeen)
            .mapToDouble(i -> window[(int) (i % WINDOW_SIZE)])
            .toArray();
    System.arraycopy(latest, 0, window, 0, RECENT_HINTS);
    hintsSeen = RECENT_HINTS;
    recentLogMean = Arrays.stream(latest).map(Math::log).sum() / RECENT_HINTS;
    listener.hintUnitChanged(Math.round(100 * Math.exp(recentLogMean - windowLogMean)));
  }

  private void fitConstants(int hintCount) {
    double sum = 0;
    double sumOfPowers = 0;
    double sumOfLogs = 0;
    double sumOfSquaredLogs = 0;
    for (double value : sortedHints) {
      double hint = Math.min(value, maxHint);
      sum += hint;
      sumOfPowers += Math.pow(hint, exponent);
      double log = Math.log(hint);
      sumOfLogs += log;
      sumOfSquaredLogs += log * log;
    }
    windowLogMean = sumOfLogs / hintCount;
    double deviation =
        Math.sqrt(Math.max(0, sumOfSquaredLogs / hintCount - windowLogMean * windowLogMean));
    // a running mean with gain 1/n has the variance of a mean of 2n - 1 independent samples
    unitChangeThreshold =
        Math.max(MIN_UNIT_CHANGE, UNIT_CHANGE_ERRORS * deviation / Math.sqrt(2 * RECENT_HINTS - 1));
    baseCost = BASE_SHARE * sum / hintCount;
    scale = (1 - BASE_SHARE) * sum / sumOfPowers;
  }

  private void sumCosts(int hintCount) {
    cumulativeCosts = new double[hintCount + 1];
    for (int i = 0; i < hintCount; i++) {
      cumulativeCosts[i + 1] = cumulativeCosts[i] + costOf(sortedHints[i]);
    }
    meanCost = cumulativeCosts[hintCount] / hintCount;
  }

  private void rescale(double factor) {
    unit *= factor;
    latencyFit.shift(Math.log(factor));
    listener.costsRescaled(factor);
  }

  /**
   * Fits the exponent to the latency of an attempt.
   *
   * @param hint the request's hint, above 0
   * @param latency latency in ticks; this proxy must have had nothing else in flight at the backend
   */
  void observeLatency(int hint, long latency) {
    double x = Math.log(hint);
    double y = Math.log(Math.max(1, latency));
    latencyFit.add(x, y, latencyFit.isAbove(x, y) ? WEIGHT_ABOVE_FIT : 1);
    double slope =
        loadReported
            ? latencyFit.slope(2 * PRIOR_WEIGHT, PRIOR_EXPONENT_WITH_REPORTS)
            : latencyFit.slope(PRIOR_WEIGHT, PRIOR_EXPONENT);
    exponent = Math.max(MIN_EXPONENT, Math.min(1, slope));
  }

  /** The expected cost of a request with this hint. */
  public double costOf(double hint) {
    return baseCost + scale * Math.pow(Math.min(hint, maxHint), exponent);
  }

  /** The mean cost of a request. */
  public double meanCost() {
    return meanCost;
  }

  /** The present unit of costs relative to the initial one; changes with each rescaling. */
  double unit() {
    return unit;
  }

  /** Whether the window holds any hint. */
  boolean hasHints() {
    return hintsSeen > 0;
  }

  /** The number of hints in the window below a value, which must not be an integer. */
  public int hintsBelow(double value) {
    return -Arrays.binarySearch(sortedHints, value) - 1;
  }

  /** The summed cost of the given number of smallest hints in the window. */
  public double costOfSmallest(int count) {
    return cumulativeCosts[count];
  }

  /** The summed cost of all hints of the window. */
  public double totalCost() {
    return cumulativeCosts[sortedHints.length];
  }
}
