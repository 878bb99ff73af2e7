package wheattrack.lab.virtual;

import java.util.Arrays;
import java.util.List;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PolicyRuntime;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.scenario.ProxySettings;
import wheattrack.lab.scenario.Scenario;

/** Creates the proxies' policy or one of the baselines that the lab compares it with. */
public final class Policies {
  /**
   * The policies: EQUILOAD is the proxies' own, RANDOM and ROUND_ROBIN ignore the load,
   * LEAST_IN_FLIGHT takes the backend with the fewest attempts in flight, POWER_OF_TWO_CHOICES the
   * better of two drawn at random.
   */
  public enum Kind {
    EQUILOAD("rules"),
    RANDOM("random"),
    ROUND_ROBIN("round-robin"),
    LEAST_IN_FLIGHT("least-out"),
    POWER_OF_TWO_CHOICES("two-choices");

    private final String keyword;

    Kind(String keyword) {
      this.keyword = keyword;
    }

    /** Its keyword on the command line. */
    public String keyword() {
      return keyword;
    }
  }

  private Policies() {}

  /** The keywords of all policies. */
  public static List<String> names() {
    return Arrays.stream(Kind.values()).map(Kind::keyword).toList();
  }

  /** A factory that creates policies with the proxies' settings of a scenario. */
  static PolicyFactory factory(Kind kind, Scenario scenario) {
    return (runtime, seed, proxyIndex) -> {
      Settings settings = new Settings(ProxySettings.of(scenario, proxyIndex));
      return kind == Kind.EQUILOAD
          ? loadBalancer(settings, runtime, seed)
          : baseline(kind, settings, runtime, new RandomStream(seed, "baseline" + proxyIndex));
    };
  }

  private static LoadBalancer loadBalancer(Settings settings, PolicyRuntime runtime, long seed) {
    return LoadBalancerFactory.create(
        settings, runtime, seed, PolicySettingsMapper.requestClasses(settings), true);
  }

  private static LoadBalancer baseline(
      Kind kind, Settings settings, PolicyRuntime runtime, RandomStream random) {
    runtime.watchEndpoints();
    int maxAttempts = settings.integer("limits.maxDispatches", 1);
    return new BaselinePolicy(kind, runtime, random, maxAttempts);
  }
}
