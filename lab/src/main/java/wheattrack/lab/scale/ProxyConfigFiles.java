package wheattrack.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes the configuration files of a run's proxies, each with a seed of its own. */
final class ProxyConfigFiles {
  /** Spreads the seeds of runs, so that proxies of different runs have different seeds. */
  private static final long SEED_MULTIPLIER = 0x9E37_79B9L;

  /** The number of proxies that the settings state. */
  private static final int PROXY_COUNT = 100;

  private static final int MAX_ATTEMPTS = 3;

  private static final int LOAD_PROBE_INTERVAL_MICROS = 10_000_000;

  private static final int CONNECT_TIMEOUT_MICROS = 250_000;
  private static final int IDLE_TIMEOUT_MICROS = 30_000_000;
  private static final int LATENCY_OBJECTIVE_MICROS = 600_000;
  private static final int CLIENT_TIMEOUT_MICROS = 1_200_000;

  private final Path directory;
  private final long seed;
  private int fileCount;

  ProxyConfigFiles(Path directory, long seed) {
    this.directory = directory;
    this.seed = seed;
  }

  /**
   * Writes one proxy's configuration and returns the file.
   *
   * @param discovery the source of endpoints
   * @param listen the address for clients, whose next port is the admin port; null for control-only
   *     proxies, which have no clients
   * @param ruleSets how many rule sets the settings have
   * @param tenants how many tenants the settings have
   */
  Path write(InetSocketAddress discovery, InetSocketAddress listen, int ruleSets, int tenants)
      throws IOException {
    fileCount++;
    Map<String, Object> config = new LinkedHashMap<>();
    if (listen == null) {
      config.put("listen", "127.0.0.1:0");
      config.put("admin", "");
    } else {
      config.put("listen", hostAndPort(listen.getHostString(), listen.getPort()));
      config.put("admin", hostAndPort(listen.getHostString(), listen.getPort() + 1));
    }
    config.put("discovery", hostAndPort(discovery.getHostString(), discovery.getPort()));
    config.put("seed", Long.toHexString(seed * SEED_MULTIPLIER + fileCount));
    config.put("settings", settings(ruleSets, tenants));
    Path file = directory.resolve("config-" + fileCount + ".json");
    Files.writeString(file, new ObjectMapper().writeValueAsString(config));
    return file;
  }

  private static String hostAndPort(String host, int port) {
    return host + ":" + port;
  }

  private static Map<String, Object> settings(int ruleSets, int tenants) {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("me", 0);
    settings.put("balancers", PROXY_COUNT);
    settings.put("zones", List.of("a", "b"));
    settings.put("zone", 0);
    settings.put("kinds", List.of("m1"));
    settings.put("ruleSets", ruleSets(ruleSets));
    settings.put("tenants", tenants(tenants));
    settings.put("rules", Map.of("askEvery", LOAD_PROBE_INTERVAL_MICROS));
    settings.put(
        "limits",
        Map.of(
            "maxDispatches", MAX_ATTEMPTS,
            "dialTimeout", CONNECT_TIMEOUT_MICROS,
            "idleClose", IDLE_TIMEOUT_MICROS));
    return settings;
  }

  private static List<Object> ruleSets(int count) {
    List<Object> ruleSets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Map<String, Object> ruleSet = new LinkedHashMap<>();
      ruleSet.put("name", "route-" + i);
      ruleSet.put("effect", "read_like");
      ruleSet.put("group", "all");
      ruleSet.put("window", 0);
      ruleSet.put("responseTarget", LATENCY_OBJECTIVE_MICROS);
      ruleSet.put("clientTimeout", CLIENT_TIMEOUT_MICROS);
      ruleSets.add(ruleSet);
    }
    return ruleSets;
  }

  private static List<Object> tenants(int count) {
    List<Object> tenants = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tenants.add(Map.of("name", "tenant-" + i, "quotaPerS", 1));
    }
    return tenants;
  }
}
