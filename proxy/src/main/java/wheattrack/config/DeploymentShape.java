package wheattrack.config;

import java.util.List;

/** The values of the key `shape`: how proxies stand towards the clients. */
final class DeploymentShape {
  /** Clients share a pool of proxies: the default. */
  static final String POOL = "pool";

  /** Each client process has a proxy of its own beside it. */
  static final String PER_CLIENT = "per-client";

  /** All shapes. */
  static final List<String> ALL = List.of(POOL, PER_CLIENT);

  private DeploymentShape() {}
}
