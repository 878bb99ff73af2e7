package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import wheattrack.config.InvalidConfigurationException;

/** Finds the scenarios that ship, and the jars. */
public final class ScenarioCatalog {
  private ScenarioCatalog() {}

  /** The root of the tree: where the launcher lies. */
  static Path home() {
    return Path.of(System.getProperty("wheattrack.home", "."));
  }

  /** The proxies' program. */
  static Path proxyJar() {
    return home().resolve("proxy/target/wheattrack.jar");
  }

  /** The names of the scenarios that ship, in order. */
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

  /** A scenario's file by its name or path; throws InvalidConfigurationException without one. */
  public static Path find(String nameOrFile) {
    Path named = scenarioDirectory().resolve(nameOrFile + ".toml");
    Path file = Files.isRegularFile(named) ? named : Path.of(nameOrFile);
    if (!Files.isRegularFile(file)) {
      throw new InvalidConfigurationException(nameOrFile, "no such scenario, by name or by file");
    }
    return file;
  }
}
