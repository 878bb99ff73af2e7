package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import wheattrack.config.InvalidConfigurationException;

/** Where the scenarios that ship lie, and the jars. */
public final class ScenarioCatalog {
  private ScenarioCatalog() {}

  /** The root of the tree: where the launcher lies. */
  static Path home() {
    return Path.of(System.getProperty("wheattrack.home", "."));
  }

  static Path proxyJar() {
    return home().resolve("proxy/target/wheattrack.jar");
  }

  /** The names of the scenarios that ship, in order. */
  public static List<String> names() throws IOException {
    Path shelf = home().resolve("lab/scenarios");
    try (Stream<Path> files = Files.walk(shelf)) {
      return files
          .filter(f -> f.toString().endsWith(".toml"))
          .map(f -> shelf.relativize(f).toString().replace('\\', '/').replaceAll("\\.toml$", ""))
          .sorted()
          .toList();
    }
  }

  /** A scenario by its name or its file. */
  public static Path find(String nameOrFile) {
    Path named = home().resolve("lab/scenarios").resolve(nameOrFile + ".toml");
    Path file = Files.isRegularFile(named) ? named : Path.of(nameOrFile);
    if (!Files.isRegularFile(file)) {
      throw new InvalidConfigurationException(nameOrFile, "no such scenario, by name or by file");
    }
    return file;
  }
}
