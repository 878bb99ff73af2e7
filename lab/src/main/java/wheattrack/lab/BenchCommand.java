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
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.ScenarioReader;
import wheattrack.lab.sockets.SocketRun;
import wheattrack.lab.virtual.VirtualRun;

/**
 * What the lab costs and bears on this machine: the virtual world by size, and the sockets by rate.
 */
final class BenchCommand {
  private static final int[][] SIZES = {
    {10, 70}, {100, 70}, {300, 70}, {1000, 70}, {300, 10}, {300, 100}, {300, 1000}, {1000, 1000}
  };

  private BenchCommand() {}

  static int run(ScenarioRunner.Job job) throws IOException {
    System.out.println("virtual: 2,300 reqs a second for 10 s, one thread");
    System.out.println("proxies servers  wall s  µs a req  steps a req  peak MB  service");
    for (int[] size : SIZES) {
      virtual(size[0], size[1], job.seed());
    }
    System.out.println(
        "sockets: light reqs of 1 ms at 12 servers, 6 s a rate; ms from intended send");
    System.out.println("                    rate   done/s  late p99      p50      p99    p99.9");
    sockets("(warming up)", 3, SocketRun.ProxyOptions.DEFAULT, 1000, job);
    for (int rate : new int[] {1000, 4000, 8000}) {
      sockets("direct", 12, new SocketRun.ProxyOptions(List.of(), null, true), rate, job);
      sockets("1 proxy, 1 core", 1, new SocketRun.ProxyOptions(List.of(), "0", false), rate, job);
      sockets("3 proxies", 3, SocketRun.ProxyOptions.DEFAULT, rate, job);
    }
    return 0;
  }

  private static void virtual(int proxies, int servers, long seed) throws IOException {
    Map<String, String> set = new LinkedHashMap<>();
    set.put("fleet.proxies", Integer.toString(proxies));
    set.put("seconds", "10");
    set.put("fault", "[]");
    int each = Math.max(1, servers / 3);
    set.put("server[0].count", Integer.toString(servers - 2 * each));
    set.put("server[1].count", Integer.toString(each));
    set.put("server[2].count", Integer.toString(each));
    Scenario s = ScenarioReader.read(ScenarioCatalog.find("world/wide-300x70"), set);
    Referee referee = new Referee(s);
    System.gc();
    List<MemoryPoolMXBean> pools = ManagementFactory.getMemoryPoolMXBeans();
    pools.forEach(MemoryPoolMXBean::resetPeakUsage);
    long from = System.nanoTime();
    VirtualRun world = new VirtualRun(s, seed, wheattrack.lab.virtual.Policies.Kind.RULES, referee);
    world.run();
    double wall = (System.nanoTime() - from) / 1e9;
    Verdict v = referee.verdict();
    double reqs = v.figures().get("asked");
    long peak =
        pools.stream()
            .filter(p -> p.getType() == MemoryType.HEAP)
            .mapToLong(p -> p.getPeakUsage().getUsed())
            .sum();
    System.out.printf(
        Locale.ROOT,
        "%7d %7d %7.2f %9.1f %12.1f %8d %8.3f%n",
        proxies,
        servers,
        wall,
        wall * 1e6 / reqs,
        world.steps() / reqs,
        peak >> 20,
        v.figures().get("service"));
  }

  private static void sockets(
      String name, int proxies, SocketRun.ProxyOptions how, int rate, ScenarioRunner.Job job)
      throws IOException {
    Map<String, String> set = new LinkedHashMap<>();
    set.put("load.rate", Integer.toString(rate));
    set.put("seconds", "6");
    set.put("fleet.proxies", Integer.toString(proxies));
    Scenario s = ScenarioReader.read(ScenarioCatalog.find("long/rate"), set);
    ScenarioRunner.Real real =
        ScenarioRunner.real(
            s, new ScenarioRunner.Job(job.seed(), null, job.policy(), job.jar()), how);
    Map<String, Double> f = real.verdict().figures();
    System.out.printf(
        Locale.ROOT,
        "%-16s %7d %8.0f %9.2f %8.2f %8.2f %8.2f%n",
        name,
        rate,
        f.get("done") / (s.duration() / (double) Scenario.SECOND),
        real.quality().latenessMicros().getValueAtPercentile(99) / 1000.0,
        f.get("p50"),
        f.get("p99"),
        f.get("p999"));
  }
}
