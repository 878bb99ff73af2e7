package wheattrack.admin;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import java.util.regex.Pattern;
import wheattrack.core.BackendConnectionCounters;
import wheattrack.core.ClientConnectionCounters;
import wheattrack.core.ConnectReason;
import wheattrack.core.EvictionPriority;
import wheattrack.core.MemoryBudget;
import wheattrack.core.MemoryUse;
import wheattrack.core.NoReuseReason;
import wheattrack.core.RequestCounters;
import wheattrack.core.RequestCounters.AnswerCounts;
import wheattrack.core.RequestCounters.FinalAnswer;

/**
 * The metrics in the operators' format, one line each, with their values at the time of the call.
 * Runs on the event loop's thread only.
 */
public final class MetricsFormat {
  private static final int INITIAL_CAPACITY_CHARS = 512;

  /** The type of a metric that only grows. */
  private static final char COUNTER = 'c';

  /** The type of a metric that grows and shrinks. */
  private static final char GAUGE = 'g';

  /** Characters that would end or split the line of a metric. */
  private static final Pattern RESERVED_CHARACTERS = Pattern.compile("[^!-~]|[:|@#]");

  private final RequestCounters counters;
  private final ClientConnectionCounters clientCounters;
  private final BackendConnectionCounters backendConnectionCounters;
  private final MemoryBudget memoryBudget;
  private final IntSupplier inFlight;
  private final IntSupplier backends;
  private final IntSupplier ejectedBackends;
  private final IntSupplier leftOutBackends;
  private final LongSupplier failedSteps;

  /**
   * Creates metrics that are read from these sources.
   *
   * @param clientCounters how connections of clients ended
   * @param backendConnectionCounters why connections to backends were opened and not reused
   * @param memoryBudget the memory that messages use
   * @param inFlight requests accepted and not answered yet
   * @param backends backends on the endpoint list
   * @param ejectedBackends those of them that are ejected now
   * @param leftOutBackends backends on the list that are not used, as the list holds more than the
   *     proxy supports
   * @param failedSteps steps of the event loop that have thrown an exception or error
   */
  public MetricsFormat(
      RequestCounters counters,
      ClientConnectionCounters clientCounters,
      BackendConnectionCounters backendConnectionCounters,
      MemoryBudget memoryBudget,
      IntSupplier inFlight,
      IntSupplier backends,
      IntSupplier ejectedBackends,
      IntSupplier leftOutBackends,
      LongSupplier failedSteps) {
    this.counters = counters;
    this.clientCounters = clientCounters;
    this.backendConnectionCounters = backendConnectionCounters;
    this.memoryBudget = memoryBudget;
    this.inFlight = inFlight;
    this.backends = backends;
    this.ejectedBackends = ejectedBackends;
    this.leftOutBackends = leftOutBackends;
    this.failedSteps = failedSteps;
  }

  /** All metrics. */
  public String text() {
    StringBuilder text = new StringBuilder(INITIAL_CAPACITY_CHARS);
    counters.answersByClass().forEach((name, counts) -> appendClass(text, name, counts));
    append(text, "attempts", counters.attempts(), COUNTER);
    append(text, "in_flight", inFlight.getAsInt(), GAUGE);
    append(text, "backends_known", backends.getAsInt(), GAUGE);
    append(text, "backends_excluded", ejectedBackends.getAsInt(), GAUGE);
    append(text, "backends_left_out", leftOutBackends.getAsInt(), GAUGE);
    append(text, "settings_told", counters.dynamicSettingsApplied(), COUNTER);
    append(text, "reloads_ok", counters.reloadsApplied(), COUNTER);
    append(text, "reloads_failed", counters.reloadsRejected(), COUNTER);
    appendClientConnections(text);
    appendBackendConnections(text);
    appendMemory(text);
    append(text, "steps_failed", failedSteps.getAsLong(), COUNTER);
    return text.toString();
  }

  private void appendClientConnections(StringBuilder text) {
    Set<EvictionPriority> evicted = EnumSet.complementOf(EnumSet.of(EvictionPriority.NEVER));
    appendEach(text, "clients_evicted", evicted, clientCounters::evictions);
    append(text, "client_reads_dropped", clientCounters.droppedReads(), COUNTER);
    append(text, "accepts_failed", clientCounters.failedAccepts(), COUNTER);
  }

  private void appendBackendConnections(StringBuilder text) {
    appendEach(
        text,
        "backend_connections_opened",
        EnumSet.allOf(ConnectReason.class),
        backendConnectionCounters::opened);
    appendEach(
        text,
        "backend_connections_not_reused",
        EnumSet.allOf(NoReuseReason.class),
        backendConnectionCounters::notReused);
  }

  private void appendMemory(StringBuilder text) {
    append(text, "memory_used", memoryBudget.usedBytes(), GAUGE);
    append(text, "memory_limit", memoryBudget.limit(), GAUGE);
    Set<MemoryUse> reclaimable = EnumSet.complementOf(EnumSet.of(MemoryUse.NEEDED));
    appendEach(text, "memory_reclaimed", reclaimable, memoryBudget::reclaims);
    append(text, "memory_rejected", memoryBudget.rejectedRequests(), COUNTER);
  }

  /** Appends a counter for each constant, whose name is a part of the metric's name. */
  private static <E extends Enum<E>> void appendEach(
      StringBuilder text, String name, Set<E> constants, ToLongFunction<E> count) {
    for (E constant : constants) {
      String suffix = constant.name().toLowerCase(Locale.ROOT);
      append(text, name + "." + suffix, count.applyAsLong(constant), COUNTER);
    }
  }

  private static void appendClass(StringBuilder text, String className, AnswerCounts counts) {
    for (FinalAnswer answer : FinalAnswer.values()) {
      String name = metricName(answer) + "." + withoutReservedCharacters(className);
      append(text, name, counts.get(answer), COUNTER);
    }
  }

  private static String metricName(FinalAnswer answer) {
    return switch (answer) {
      case DONE -> "served";
      case REJECTED -> "refused";
      case FAILED -> "failed";
    };
  }

  private static void append(StringBuilder text, String name, long value, char type) {
    text.append("proxy.")
        .append(name)
        .append(':')
        .append(value)
        .append('|')
        .append(type)
        .append('\n');
  }

  private static String withoutReservedCharacters(String name) {
    return RESERVED_CHARACTERS.matcher(name).replaceAll("_");
  }
}
