package wheattrack.config;

import static wheattrack.config.SettingsValidator.check;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The validated configuration of one proxy, as its JSON file gives it. Immutable. Errors are {@link
 * InvalidConfigurationException} and name the key.
 */
public final class ProxyConfig {
  private static final String DEFAULT_NAME = "wheattrack";
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int MIN_DESCRIPTORS = 64;
  private static final double DEFAULT_BODY_LIMIT_MEGABYTES = 32;
  private static final double MIN_BODY_LIMIT_MEGABYTES = 1;
  private static final int BYTES_PER_MEGABYTE = 1 << 20;
  private static final double UNLIMITED_MEGABYTES = Long.MAX_VALUE / (double) BYTES_PER_MEGABYTE;
  private static final double DEFAULT_DRAIN_MILLIS = 500;
  private static final int SEED_RADIX = 16;

  /** The environment variable that gives the admin address if the file does not. */
  private static final String ADMIN_VARIABLE = "GW_ADMIN";

  /** Keys that take effect only at a start, so that a file read again may lack them. */
  private static final Set<String> START_ONLY_KEYS = Set.of("known", "seed");

  /** Keys whose values a running proxy cannot change. */
  private static final List<String> FIXED_KEYS =
      List.of(
          "listen",
          "admin",
          "limits",
          "settings.me",
          "settings.balancers",
          "settings.zones",
          "settings.kinds",
          "settings.rules.askEvery");

  private final Map<String, Object> values;
  private final String name;
  private final InetSocketAddress listen;
  private final InetSocketAddress discovery;
  private final InetSocketAddress admin;
  private final long seed;
  private final int maxDescriptors;
  private final long maxBodyBytes;
  private final long maxMemoryBytes;
  private final long drainTime;
  private final JsonObjectReader cachedEndpoints;
  private final Settings settings;

  /**
   * Validates a configuration.
   *
   * @param values the file's object; it must not be changed afterwards
   * @throws InvalidConfigurationException if it can't be used
   */
  public ProxyConfig(Map<String, Object> values) {
    this.values = values;
    JsonObjectReader root = new JsonObjectReader(values);
    name = root.text("name", DEFAULT_NAME);
    listen = SocketAddressParser.parse("listen", root.text("listen"));
    discovery = SocketAddressParser.parse("discovery", root.text("discovery"));
    admin = readAdmin(root);
    seed = readSeed(root);
    maxDescriptors = root.integer("limits.sockets", DEFAULT_DESCRIPTORS);
    check(
        maxDescriptors >= MIN_DESCRIPTORS,
        "limits.sockets",
        "expected at least " + MIN_DESCRIPTORS + ", got " + maxDescriptors);
    double bodyLimitMegabytes = root.number("limits.body_mb", DEFAULT_BODY_LIMIT_MEGABYTES);
    check(
        bodyLimitMegabytes >= MIN_BODY_LIMIT_MEGABYTES,
        "limits.body_mb",
        "expected at least " + MIN_BODY_LIMIT_MEGABYTES + ", got " + bodyLimitMegabytes);
    maxBodyBytes = (long) (bodyLimitMegabytes * BYTES_PER_MEGABYTE);
    double memoryMegabytes = root.number("limits.memory_mb", UNLIMITED_MEGABYTES);
    check(memoryMegabytes > 0, "limits.memory_mb", "expected more than 0, got " + memoryMegabytes);
    maxMemoryBytes = (long) (memoryMegabytes * BYTES_PER_MEGABYTE);
    double drainMillis = root.number("drain_ms", DEFAULT_DRAIN_MILLIS);
    drainTime = (long) (drainMillis * TimeConversion.TICKS_PER_MILLISECOND);
    check(drainTime >= 0, "drain_ms", "expected 0 or more, got " + drainMillis);
    checkShape(root);
    cachedEndpoints = root.section("known");
    settings = new Settings(root.section("settings"));
    SettingsValidator.checkSettings(settings);
  }

  /** The admin address, or null if there is none. */
  private static InetSocketAddress readAdmin(JsonObjectReader root) {
    String text = root.text("admin", System.getenv(ADMIN_VARIABLE));
    if (text == null || text.isEmpty()) {
      return null;
    }
    return SocketAddressParser.parse("admin", text);
  }

  private static void checkShape(JsonObjectReader root) {
    String shape = root.text("shape", DeploymentShape.POOL.keyword());
    check(
        DeploymentShape.KEYWORDS.contains(shape),
        "shape",
        "expected one of " + DeploymentShape.KEYWORDS + ", got " + OneLineText.quoted(shape));
  }

  private static long readSeed(JsonObjectReader root) {
    String seed = root.text("seed", "");
    try {
      return seed.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(seed, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException(
          "seed", "expected at most 16 hexadecimal digits, got " + seed);
    }
  }

  /**
   * Reads a configuration file.
   *
   * @throws InvalidConfigurationException if the file can't be read or used
   */
  public static ProxyConfig read(Path file) {
    return new ProxyConfig(ConfigurationFile.read(file));
  }

  /**
   * Reads a configuration file for a training run: the proxy listens on any free port of this
   * machine, has no admin address and no cached endpoints.
   *
   * @param discoveryPort the port of this machine where the training run's discovery listens
   */
  public static ProxyConfig readForTraining(Path file, int discoveryPort) {
    Map<String, Object> values = ConfigurationFile.read(file);
    values.put("listen", "127.0.0.1:0");
    values.put("discovery", "127.0.0.1:" + discoveryPort);
    values.remove("known");
    values.put("admin", "");
    return new ProxyConfig(values);
  }

  /**
   * Reads a configuration file again for a running proxy. A key that the running configuration has
   * must be in the file, as its default would silently replace the running value otherwise; exempt
   * are keys that take effect only at a start.
   *
   * @throws InvalidConfigurationException if the file can't be read or used, or lacks a key
   */
  public static ProxyConfig reread(Path file, ProxyConfig running) {
    ProxyConfig next = read(file);
    Map<String, Object> required = new HashMap<>(running.values);
    required.keySet().removeAll(START_ONLY_KEYS);
    checkHasKeys(required, next.values, "");
    checkHasClassKeys(commonClassKeys(running.settings), next.settings);
    return next;
  }

  private static void checkHasClassKeys(Set<String> requiredKeys, Settings settings) {
    for (JsonObjectReader entry : settings.requestClassEntries()) {
      for (String key : requiredKeys) {
        check(
            entry.has(key),
            "settings.ruleSets." + entry.text("name") + "." + key,
            "missing, but all running request classes have it");
      }
    }
  }

  /** The keys that all request classes have. */
  private static Set<String> commonClassKeys(Settings settings) {
    List<JsonObjectReader> entries =
        settings.requestClassEntries(); // never empty, as it is validated
    Set<String> common = new HashSet<>(entries.get(0).keys());
    for (JsonObjectReader entry : entries) {
      common.retainAll(entry.keys());
    }
    return common;
  }

  private static void checkHasKeys(Map<?, ?> required, Map<?, ?> present, String prefix) {
    required.forEach(
        (key, value) -> {
          String path = prefix + key;
          check(present.containsKey(key), path, "missing, but the running configuration has it");
          if (value instanceof Map<?, ?> section) {
            check(
                present.get(key) instanceof Map,
                path,
                "expected an object, as in the running configuration, got "
                    + JsonObjectReader.typeName(present.get(key), "an object"));
            checkHasKeys(section, (Map<?, ?>) present.get(key), path + ".");
          }
        });
  }

  /** The keys that differ from the running configuration and take effect only at a start. */
  public List<String> changedFixedKeys(ProxyConfig running) {
    JsonObjectReader thisRoot = new JsonObjectReader(values);
    JsonObjectReader runningRoot = new JsonObjectReader(running.values);
    return FIXED_KEYS.stream()
        .filter(key -> !Objects.equals(thisRoot.any(key), runningRoot.any(key)))
        .toList();
  }

  /** The proxy's name, for logs. */
  public String name() {
    return name;
  }

  /** Where clients connect. */
  public InetSocketAddress listen() {
    return listen;
  }

  /** Where the endpoint list is watched. */
  public InetSocketAddress discovery() {
    return discovery;
  }

  /** Where operators connect, or null. */
  public InetSocketAddress admin() {
    return admin;
  }

  /** The seed of the proxy's random draws. */
  public long seed() {
    return seed;
  }

  /** How many file descriptors the process may hold. */
  public int maxDescriptors() {
    return maxDescriptors;
  }

  /** The longest body of a request or a response, in bytes. */
  public long maxBodyBytes() {
    return maxBodyBytes;
  }

  /** How much memory the process may use, in bytes; a very large number if there is no limit. */
  public long maxMemoryBytes() {
    return maxMemoryBytes;
  }

  /**
   * How long new connections are still accepted after the shutdown was announced, in tenths of a
   * millisecond.
   */
  public long drainTime() {
    return drainTime;
  }

  /** The endpoint list that the file caches for this proxy, in discovery's format; may be empty. */
  public JsonObjectReader cachedEndpoints() {
    return cachedEndpoints;
  }

  /** The section `settings`: what the policy acts on. */
  public Settings settings() {
    return settings;
  }
}
