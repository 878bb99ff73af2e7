package wheattrack.config;

import java.util.Arrays;
import java.util.List;

/** How proxies are deployed for the clients: the key `shape` of a configuration. */
enum DeploymentShape {
  /** Clients share a pool of proxies: the default. */
  POOL("pool"),
  /** Each client process has a proxy of its own on its machine. */
  PER_CLIENT("per-client");

  /** The keywords of all shapes. */
  static final List<String> KEYWORDS =
      Arrays.stream(values()).map(DeploymentShape::keyword).toList();

  private final String keyword;

  DeploymentShape(String keyword) {
    this.keyword = keyword;
  }

  /** The shape as a configuration has it. */
  String keyword() {
    return keyword;
  }
}
