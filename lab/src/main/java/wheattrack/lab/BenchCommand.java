package wheattrack.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Metric;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.sockets.SocketRun;
import wheattrack.lab.virtual.Policies;
import wheattrack.lab.virtual.VirtualRun;

/**
 * The lab's benchmark of itself on this machine: the cost of virtual runs by size of the fleet, and
 * throughput and latency of runs on sockets by request rate.
 */
final class BenchCommand {
  /** Number of proxies and backends of a virtual run. */
  private record FleetSize(int proxies, int backends) {}

  private static final List<FleetSize> SIZES =
      List.of(
          new FleetSize(10, 70),
          new FleetSize(100, 70),
          new FleetSize(300, 70),
          new FleetSize(1000, 70),
          new FleetSize(300, 10),
          new FleetSize(300, 100),
          new FleetSize(300, 1000),
          new FleetSize(1000, 1000));

  /** Request rates of the runs on sockets, per second. */
  private static final int[] RATES = {1000, 4000, 8000};

  private static final SocketRun.ProxyOptions DIRECT =
      new SocketRun.ProxyOptions(List.of(), null, true);
  private static final SocketRun.ProxyOptions ONE_CORE =
      new SocketRun.ProxyOptions(List.of(), "0", false);

  /** Shift from bytes to mebibytes. */
  private static final int MEBIBYTE_SHIFT = 20;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MICROS_PER_SECOND = 1e6;

  private BenchCommand() {}

  /** Runs all measurements and prints their results; takes minutes. */
  static ExitCode run(ScenarioRunner.RunOptions options) throws IOException {
    System.out.println("virtual: 2,300 requests per second for 10 s, on one thread");
    System.out.println("proxies backends wall s  µs a req  steps a req  peak MB  service");
    for (FleetSize size : SIZES) {
      measureVirtual(size, options.seed());
    }
    System.out.println(
        "sockets: light requests of 1 ms at 12 backends, 6 s per rate; latencies in ms from the"
            + " intended send time");
    System.out.println("                    rate   done/s  late p99      p50      p99    p99.9");
    measureSockets("(warming up)", 3, SocketRun.ProxyOptions.DEFAULT, 1000, options);
    for (int rate : RATES) {
      measureSockets("direct", 12, DIRECT, rate, options);
      measureSockets("1 proxy, 1 core", 1, ONE_CORE, rate, options);
      measureSockets("3 proxies", 3, SocketRun.ProxyOptions.DEFAULT, rate, options);
    }
    return ExitCode.SUCCESS;
  }

  private static void measureVirtual(FleetSize size, long seed) throws IOException {
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("fleet.proxies", Integer.toString(size.proxies));
    settings.put("seconds", "10");
    settings.put("fault", "[]");
    int third = Math.max(1, size.backends / 3);
    settings.put("server[0].count", Integer.toString(size.backends - 2 * third));
    settings.put("server[1].count", Integer.toString(third));
    settings.put("server[2].count", Integer.toString(third));
    Scenario scenario = ScenarioReader.read(ScenarioCatalog.find("world/wide-300x70"), settings);
    Referee referee = new Referee(scenario);
    System.gc();
    List<MemoryPoolMXBean> pools = ManagementFactory.getMemoryPoolMXBeans();
    pools.forEach(MemoryPoolMXBean::resetPeakUsage);
    long start = System.nanoTime();
    VirtualRun run = new VirtualRun(scenario, seed, Policies.Kind.EQUILOAD, referee);
    run.run();
    double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
    Verdict verdict = referee.verdict();
    double requests = verdict.metric(Metric.ASKED);
    System.out.printf(
        Locale.ROOT,
        "%7d %7d %7.2f %9.1f %12.1f %8d %8.3f%n",
        size.proxies,
        size.backends,
        seconds,
        seconds * MICROS_PER_SECOND / requests,
        run.steps() / requests,
        peakHeapBytes(pools) >> MEBIBYTE_SHIFT,
        verdict.metric(Metric.SERVICE));
  }

  private static long peakHeapBytes(List<MemoryPoolMXBean> pools) {
    return pools.stream()
        .filter(pool -> pool.getType() == MemoryType.HEAP)
        .mapToLong(pool -> pool.getPeakUsage().getUsed())
        .sum();
  }

  private static void measureSockets(
      String name,
      int proxies,
      SocketRun.ProxyOptions proxyOptions,
      int rate,
      ScenarioRunner.RunOptions options)
      throws IOException {
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("load.rate", Integer.toString(rate));
    settings.put("seconds", "6");
    settings.put("fleet.proxies", Integer.toString(proxies));
    Scenario scenario = ScenarioReader.read(ScenarioCatalog.find("long/rate"), settings);
    ScenarioRunner.RunOptions withoutOutput =
        new ScenarioRunner.RunOptions(options.seed(), null, options.policy(), options.proxyJar());
    ScenarioRunner.SocketResult result =
        ScenarioRunner.runOnSockets(scenario, withoutOutput, proxyOptions);
    Verdict verdict = result.verdict();
    System.out.printf(
        Locale.ROOT,
        "%-16s %7d %8.0f %9.2f %8.2f %8.2f %8.2f%n",
        name,
        rate,
        verdict.metric(Metric.DONE) / Scenario.toSeconds(scenario.duration()),
        ScenarioRunner.latenessMillis(result.measurements(), 99),
        verdict.metric(Metric.P50),
        verdict.metric(Metric.P99),
        verdict.metric(Metric.P999));
  }
}
