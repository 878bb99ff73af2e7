package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import wheattrack.config.InvalidConfigurationException;

/** Finds the scenarios that ship and the proxy's jar in the source tree. */
public final class ScenarioCatalog {
  private ScenarioCatalog() {}

  /** The root directory of the source tree, which holds the launcher. */
  static Path home() {
    return Path.of(System.getProperty("wheattrack.home", "."));
  }

  /** The proxy's jar as built in the source tree. */
  static Path proxyJar() {
    return home().resolve("proxy/target/wheattrack.jar");
  }

  /** The names of the scenarios that ship, sorted. */
  public static List<String> names() throws IOException {
    Path directory = scenarioDirectory();
    try (Stream<Path> files = Files.walk(directory)) {
      return files
          .filter(file -> file.toString().endsWith(".toml"))
          .map(file -> name(directory.relativize(file)))
          .sorted()
          .toList();
    }
  }

  private static Path scenarioDirectory() {
    return home().resolve("lab/scenarios");
  }

  private static String name(Path file) {
    return file.toString().replace('\\', '/').replaceAll("\\.toml$", "");
  }

  /** A scenario's file by its name or path; throws InvalidConfigurationException if none exists. */
  public static Path find(String nameOrFile) {
    Path named = scenarioDirectory().resolve(nameOrFile + ".toml");
    Path file = Files.isRegularFile(named) ? named : Path.of(nameOrFile);
    if (!Files.isRegularFile(file)) {
      throw new InvalidConfigurationException(
          nameOrFile, "expected the name of a scenario that ships, or an existing file");
    }
    return file;
  }
}
