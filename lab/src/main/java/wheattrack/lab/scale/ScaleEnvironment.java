package wheattrack.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the measurements of a run share: its processes, sources, configurations and options. */
final class ScaleEnvironment implements AutoCloseable {
  /** Nanoseconds in a millisecond. */
  static final double NANOS_PER_MILLI = 1e6;

  /** Nanoseconds in a second. */
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** How long a few proxies may take to receive an endpoint list, or a proxy to be ready. */
  static final long LIST_TIMEOUT_MILLIS = 12_000;

  /** How long many proxies may take to receive an endpoint list or settings. */
  static final long FLEET_LIST_TIMEOUT_MILLIS = 4 * LIST_TIMEOUT_MILLIS;

  /** Backends in the list where their number is not what is measured. */
  static final int SMALL_LIST = 200;

  /** Rule sets in the configuration where their number is not what is measured. */
  static final int USUAL_RULE_SETS = 100;

  /** Control-only proxies where their number is not what is measured. */
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
   * @param commandLine the operators' command line that starts a complete proxy; unused without
   *     reference proxies
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

  /** Throws ResourceLimitException if the processes have held more memory than they may. */
  void checkLimit() {
    processes.checkLimit();
  }

  long seed() {
    return options.seed();
  }

  /**
   * Whether complete proxies run alongside the control-only ones. Without them measured times have
   * nothing to be compared with, and the steps that make them exact are skipped or shortened.
   */
  boolean hasReferences() {
    return options.hasReferences();
  }

  /** Starts a source of an endpoint list with that many backends. */
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

  /** Starts control-only proxies that take all their settings from their configuration. */
  ControlOnlyFleet startFleet(int size, Path config) throws IOException {
    return new ControlOnlyFleet(processes, size, config, null);
  }

  /** Starts control-only proxies that watch a source of settings. */
  ControlOnlyFleet startFleet(int size, Path config, SourceServer settings) throws IOException {
    return new ControlOnlyFleet(processes, size, config, settings.address());
  }

  /**
   * Starts a complete proxy and waits until it is ready or the timeout has passed; returns null if
   * this run has no reference proxies.
   */
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

  /**
   * Starts a complete proxy that watches a source of settings, and waits until it is ready or the
   * timeout has passed; returns null if this run has no reference proxies.
   */
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
   * Starts a complete proxy on these processors and does not wait until it is ready.
   *
   * @param number from 0 on, which determines its address
   * @param cpus in the form of taskset's option -c
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

  private ReferenceProxy startReference(int number, Path config, String cpus, String extraArguments)
      throws IOException {
    long startedAtNanos = System.nanoTime();
    Path referenceDirectory = Files.createDirectories(directory.resolve("w" + number));
    Process process =
        processes.startProxy(
            options.home(), commandLine + extraArguments, config, referenceDirectory, cpus);
    return new ReferenceProxy(processes, referenceAddress(number), process, startedAtNanos);
  }

  /** An address of its own for each complete proxy, so that all can use the same ports. */
  private static InetSocketAddress referenceAddress(int number) {
    return new InetSocketAddress("127.0.8." + (1 + number), REFERENCE_PORT);
  }

  @Override
  public void close() throws IOException {
    backend.close();
  }
}
