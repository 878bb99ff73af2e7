package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the measurements of a run share: its processes, sources, configurations and settings. */
final class ScaleEnvironment implements AutoCloseable {
  /** Nanoseconds in a millisecond. */
  static final double NANOS_PER_MILLI = 1e6;

  /** How long a few proxies may take to learn an endpoint list, or a proxy to be ready. */
  static final long LIST_TIMEOUT_MILLIS = 12_000;

  /** How long many proxies may take to learn an endpoint list. */
  static final long FLEET_LIST_TIMEOUT_MILLIS = 4 * LIST_TIMEOUT_MILLIS;

  /** Backends in the list where their number does not matter. */
  static final int SMALL_LIST = 200;

  /** Rule sets in the configuration where their number does not matter. */
  static final int USUAL_RULE_SETS = 100;

  /** Control-only proxies where their number does not matter. */
  static final int SMALL_FLEET = 8;

  private static final int REFERENCE_PORT = 18_000;

  private final ProcessGroup processes;
  private final ScaleCommand.ScaleOptions options;
  private final Path directory;
  private final String commandLine;
  private final ProxyConfigFiles configs;
  private final StubBackend backend = new StubBackend();

  /**
   * Prepares a run.
   *
   * @param directory for its files
   * @param commandLine the operators' line that starts a complete proxy; unused without references
   */
  ScaleEnvironment(
      ProcessGroup processes, ScaleCommand.ScaleOptions options, Path directory, String commandLine)
      throws IOException {
    this.processes = processes;
    this.options = options;
    this.directory = directory;
    this.commandLine = commandLine;
    configs = new ProxyConfigFiles(directory, options.seed());
  }

  /** Throws ResourceLimitException if the run took more memory than it may. */
  void checkLimit() {
    processes.checkLimit();
  }

  long seed() {
    return options.seed();
  }

  /**
   * Whether complete proxies run alongside the control-only ones. Without them times say little,
   * and little time is given to them.
   */
  boolean hasReferences() {
    return options.hasReferences();
  }

  /** Starts a source of an endpoint list of that many backends. */
  SourceServer startEndpointSource(int backends) throws IOException {
    return new SourceServer(
        new VersionedSource.Backends(backends, backend.address()), options.sendsSnapshots());
  }

  /** Starts a source of settings with that many rule sets. */
  SourceServer startSettingsSource(int ruleSets) throws IOException {
    return new SourceServer(new VersionedSource.Scope(ruleSets), options.sendsSnapshots());
  }

  /** Writes a configuration of control-only proxies. */
  Path writeConfig(SourceServer endpoints, int ruleSets, int tenants) throws IOException {
    return configs.write(endpoints.address(), null, ruleSets, tenants);
  }

  /** Starts control-only proxies that have all their settings from their configuration. */
  ControlOnlyFleet startFleet(int size, Path config) throws IOException {
    return new ControlOnlyFleet(processes, size, config, null);
  }

  /** Starts control-only proxies that watch a source of settings. */
  ControlOnlyFleet startFleet(int size, Path config, SourceServer settings) throws IOException {
    return new ControlOnlyFleet(processes, size, config, settings.address());
  }

  /** Starts a complete proxy and waits for it to be ready; null if there are no references. */
  ReferenceProxy startReference(SourceServer endpoints, int ruleSets, int tenants)
      throws IOException, InterruptedException {
    if (!hasReferences()) {
      return null;
    }
    Path config = writeReferenceConfig(0, endpoints, ruleSets, tenants);
    ReferenceProxy reference = startReference(0, config, null, "");
    reference.awaitReady(LIST_TIMEOUT_MILLIS);
    return reference;
  }

  /** The same for a proxy that watches a source of settings. */
  ReferenceProxy startReference(SourceServer endpoints, SourceServer settings)
      throws IOException, InterruptedException {
    if (!hasReferences()) {
      return null;
    }
    Path config = writeReferenceConfig(0, endpoints, 1, 0);
    Path operator =
        Files.writeString(
            directory.resolve("operator.toml"),
            "[settings]\nsource = \""
                + settings.address().getHostString()
                + ":"
                + settings.address().getPort()
                + "\"\nscope = \"mean\"\n");
    ReferenceProxy reference = startReference(0, config, null, " --operator " + operator);
    reference.awaitReady(LIST_TIMEOUT_MILLIS);
    return reference;
  }

  /**
   * Starts a complete proxy of this number on these processors and does not wait for it.
   *
   * @param cpus as taskset takes them
   */
  ReferenceProxy startPinnedReference(int number, SourceServer endpoints, String cpus)
      throws IOException {
    Path config = writeReferenceConfig(number, endpoints, USUAL_RULE_SETS, 0);
    return startReference(number, config, cpus, "");
  }

  private Path writeReferenceConfig(int number, SourceServer endpoints, int ruleSets, int tenants)
      throws IOException {
    return configs.write(endpoints.address(), referenceAddress(number), ruleSets, tenants);
  }

  private ReferenceProxy startReference(
      int number, Path config, String cpus, String furtherArguments) throws IOException {
    long startedAtNanos = System.nanoTime();
    Path own = Files.createDirectories(directory.resolve("w" + number));
    Process process =
        processes.startProxy(options.home(), commandLine + furtherArguments, config, own, cpus);
    return new ReferenceProxy(processes, referenceAddress(number), process, startedAtNanos);
  }

  private static InetSocketAddress referenceAddress(int number) {
    return new InetSocketAddress("127.0.8." + (1 + number), REFERENCE_PORT);
  }

  @Override
  public void close() throws IOException {
    backend.close();
  }
}
