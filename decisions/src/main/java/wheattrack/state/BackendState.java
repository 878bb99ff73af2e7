package wheattrack.state;

import wheattrack.api.EndpointUpdate;

/**
 * State of one backend: its entry in the endpoint list and this proxy's measurements. It contains
 * no decisions. Costs are in units of the cost model, times in ticks. Not thread-safe.
 */
public final class BackendState {
  /** Number of kinds that are measured separately; further kinds share the slots of others. */
  public static final int MAX_KINDS = 64;

  /** Capacity of a backend that has rejected nothing yet, in requests in flight. */
  private static final double UNLIMITED_CAPACITY = 1024;

  /** A weight that is not below this, or not above 0, counts as 1. */
  private static final double MAX_WEIGHT = 1e9;

  /** Successful attempts that the failure rate assumes besides those counted. */
  private static final int PRIOR_ATTEMPTS = 2;

  /** The mean wait is updated this many times per tightest objective. */
  private static final int WAIT_UPDATES_PER_OBJECTIVE = 10;

  private final int index;
  private long id;
  private int zone;
  private int cell;
  private int kind;
  private double weight;
  private long startedAt;
  private boolean ready;

  private boolean ejected;
  private long nextProbeRequestAt;
  private long probeRequestInterval;
  private double attempts;
  private double failures;

  private int inFlight;
  private double inFlightCost;
  private double abandonedCost;
  private double capacity;
  private double reportedInFlight;
  private long reportedAt;

  private double costDone;
  private double busyTime;
  private long busyTimeCountedUntil;
  private double timeWithoutAnswer;
  private double meanWait;
  private long lastOutcomeAt;

  private double slowStartSpent;
  private long slowStartSpentAt;
  private double share;

  /** Creates a backend that no endpoint list has contained yet. */
  BackendState(int index) {
    this.index = index;
  }

  /** Applies an entry of the endpoint list; returns whether the backend was restarted. */
  public boolean update(EndpointUpdate update) {
    boolean restarted = update.newlyListed() || update.startedAt() > startedAt;
    id = update.id();
    zone = update.zone();
    cell = update.cell();
    kind = Math.floorMod(update.kind(), MAX_KINDS);
    weight = update.weight() > 0 && update.weight() < MAX_WEIGHT ? update.weight() : 1;
    startedAt = update.startedAt();
    ready = update.ready();
    return restarted;
  }

  /** Forgets what was measured before a restart. */
  public void forgetMeasurements() {
    reportedAt = 0;
    reportedInFlight = 0;
    costDone = 0;
    busyTime = 0;
    abandonedCost = 0;
    meanWait = 0;
    attempts = 0;
    failures = 0;
    timeWithoutAnswer = 0;
    ejected = false;
    capacity = UNLIMITED_CAPACITY;
  }

  /** Marks that the backend has left the list: nothing new is sent to it. */
  public void markRemoved() {
    ready = false;
  }

  /** Its index in the {@link BackendTable}; indices are dense. */
  public int index() {
    return index;
  }

  /** Its id, by which backends are ordered. */
  public long id() {
    return id;
  }

  /** Its zone. */
  public int zone() {
    return zone;
  }

  /** Its cell: backends of a cell remember the same idempotency keys. */
  public int cell() {
    return cell;
  }

  /** Its kind, below {@link #MAX_KINDS}. */
  public int kind() {
    return kind;
  }

  /** Its advertised capacity, relative to others. */
  public double weight() {
    return weight;
  }

  /** Whether it accepts new requests according to the endpoint list. */
  public boolean isReady() {
    return ready;
  }

  /** The time since its start, in ticks. */
  public long age(long now) {
    return now - startedAt;
  }

  // ---- health

  /** Whether it receives only probe requests. */
  public boolean isEjected() {
    return ejected;
  }

  /** Ejects or reinstates it; from now on a probe request is due after each interval. */
  public void setEjected(boolean eject, long now, long interval) {
    ejected = eject;
    probeRequestInterval = interval;
    nextProbeRequestAt = now + interval;
  }

  /** When the next probe request may be sent, in ticks. */
  public long nextProbeRequestAt() {
    return nextProbeRequestAt;
  }

  /** Records that a probe request is sent: the interval to the next one doubles up to a limit. */
  public void backOffProbeRequests(long now, long maxInterval) {
    nextProbeRequestAt = now + probeRequestInterval;
    probeRequestInterval = Math.min(maxInterval, 2 * probeRequestInterval);
  }

  /** Counts an attempt that ended, and whether it failed; both decay. */
  public void countOutcome(boolean failed) {
    attempts++;
    failures += failed ? 1 : 0;
  }

  /** Share of recent attempts that failed; near 0 for a backend with few attempts. */
  public double failureRate() {
    return failures / (attempts + PRIOR_ATTEMPTS);
  }

  /** The time with attempts in flight since its last answer, in ticks. */
  public double timeWithoutAnswer() {
    return timeWithoutAnswer;
  }

  /** Records an answer. */
  public void markAnswered() {
    timeWithoutAnswer = 0;
  }

  // ---- load by this proxy's own attempts

  /** The number of this proxy's attempts in flight at the backend. */
  public int inFlight() {
    return inFlight;
  }

  /** The summed cost of these attempts. */
  public double inFlightCost() {
    return inFlightCost;
  }

  /** Cost of attempts that were cancelled or timed out and may still be running. */
  public double abandonedCost() {
    return abandonedCost;
  }

  /**
   * Estimated number of attempts in flight that it accepts; a rejection lowers it, an answer raises
   * it.
   */
  public double capacity() {
    return capacity;
  }

  /** Records that an attempt of this cost is sent. */
  public void attemptStarted(double cost) {
    reportedInFlight++;
    inFlight++;
    inFlightCost += cost;
  }

  /** Records that an attempt of this cost has ended. */
  public void attemptEnded(double cost, long now) {
    inFlight--;
    reportedInFlight = Math.max(0, reportedInFlight - 1);
    lastOutcomeAt = now;
    inFlightCost -= cost;
  }

  /** Records the cost of an attempt that ended without an answer and may still be running. */
  public void addAbandonedCost(double cost) {
    abandonedCost += cost;
  }

  /** Lowers the capacity after a rejection to the number of attempts in flight now. */
  public void lowerCapacity() {
    capacity = Math.min(capacity, inFlight);
  }

  /** Raises the capacity a little after an answer, as it may be larger than estimated. */
  public void raiseCapacity() {
    capacity += 1 / Math.max(1, capacity);
  }

  /** Whether an attempt has ended, and nothing has been in flight since for this duration. */
  public boolean areConnectionsIdleFor(long duration, long now) {
    return inFlight == 0 && lastOutcomeAt > 0 && now - lastOutcomeAt >= duration;
  }

  /** Records that its idle connections were closed. */
  public void markConnectionsClosed() {
    lastOutcomeAt = 0;
  }

  // ---- load by its own report

  /** Records a load report. */
  void setReport(double requestsInFlight, long now) {
    reportedInFlight = requestsInFlight;
    reportedAt = now;
  }

  /** Requests in flight by its last report, adjusted by this proxy's attempts since. */
  public double reportedInFlight() {
    return reportedInFlight;
  }

  /** When it last reported, in ticks; 0 if it has not. */
  public long reportedAt() {
    return reportedAt;
  }

  // ---- throughput

  /** Cost that it has completed for this proxy; decays. */
  public double costDone() {
    return costDone;
  }

  /** Time during which it had attempts of this proxy in flight; decays. */
  public double busyTime() {
    return busyTime;
  }

  /** Records completed cost. */
  void addCostDone(double cost) {
    costDone += cost;
  }

  /** Starts a new period of busy time, and returns the time since the last call in ticks. */
  long startBusyTimePeriod(long now) {
    long elapsed = now - busyTimeCountedUntil;
    busyTimeCountedUntil = now;
    return elapsed;
  }

  /**
   * Records time with attempts in flight.
   *
   * @param countedTime elapsed time as it counts towards throughput, in ticks
   * @param elapsed elapsed time, in ticks
   */
  void addBusyTime(double countedTime, long elapsed) {
    busyTime += countedTime;
    timeWithoutAnswer += elapsed;
  }

  /** Reduces the abandoned cost by what the backend is estimated to have completed of it. */
  void drainAbandonedCost(double cost) {
    abandonedCost = Math.max(0, abandonedCost - cost);
  }

  /** Mean wait over about the last second, in ticks. */
  public double meanWait() {
    return meanWait;
  }

  /**
   * Moves the mean wait towards the present one, by the time between two updates as a fraction of a
   * second.
   */
  void updateMeanWait(double wait, long objective) {
    meanWait += (wait - meanWait) * objective / WAIT_UPDATES_PER_OBJECTIVE / Ticks.SECOND;
  }

  /** Multiplies all sums that decay by a factor. */
  void decay(double factor) {
    costDone *= factor;
    busyTime *= factor;
    attempts *= factor;
    failures *= factor;
  }

  /** Converts all costs to a new unit. */
  void scaleCosts(double factor) {
    costDone *= factor;
    inFlightCost *= factor;
    abandonedCost *= factor;
    slowStartSpent *= factor;
  }

  // ---- slow start and partition

  /** The part of its slow-start budget that is used, as of the last set or refill. */
  public double slowStartSpent() {
    return slowStartSpent;
  }

  /**
   * Refills the slow-start budget for the time since the last set or refill, at a cost per tick.
   */
  public void refillSlowStart(double rate, long now) {
    double refilled = rate * (now - slowStartSpentAt);
    setSlowStartSpent(Math.max(0, slowStartSpent - refilled), now);
  }

  /** Sets the used slow-start budget as of now. */
  public void setSlowStartSpent(double cost, long now) {
    slowStartSpent = cost;
    slowStartSpentAt = now;
  }

  /** Uses part of the slow-start budget. */
  public void spendSlowStart(double cost) {
    slowStartSpent += cost;
  }

  /** Its share of the partition, relative to others. */
  public double share() {
    return share;
  }

  /** Sets its share of the partition. */
  public void setShare(double newShare) {
    share = newShare;
  }
}
