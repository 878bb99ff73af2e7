package wheattrack.docs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The source tree in which the tests run: its modules, Java sources and pages. */
final class Repository {
  /** The Maven modules; each may depend on those before it. */
  static final List<String> MODULES = List.of("decisions", "proxy", "lab");

  /** A file that exists in the root directory only. */
  private static final String LAUNCHER = "wheattrack";

  private final Path root;

  private Repository(Path root) {
    this.root = root;
  }

  /**
   * Finds the root by walking up from the working directory, which is the module's own under Maven.
   */
  static Repository find() {
    Path directory = Path.of("").toAbsolutePath();
    while (directory != null) {
      if (Files.isRegularFile(directory.resolve(LAUNCHER))) {
        return new Repository(directory);
      }
      directory = directory.getParent();
    }
    throw new IllegalStateException(
        "expected the launcher "
            + LAUNCHER
            + " in the working directory or one above, found none above "
            + Path.of("").toAbsolutePath());
  }

  /** The path of a file named relative to the root. */
  Path resolve(String relativePath) {
    return root.resolve(relativePath);
  }

  /** The content of a file named relative to the root. */
  String read(String relativePath) {
    return read(resolve(relativePath));
  }

  /** The main sources of one module. */
  List<Path> mainSources(String module) {
    return javaFiles(mainSourceRoot(module));
  }

  /** The directory that holds the root package of one module's main sources. */
  Path mainSourceRoot(String module) {
    return root.resolve(module).resolve("src/main/java");
  }

  /** All Java sources: main, test and example. */
  List<Path> allSources() {
    List<Path> sources = new ArrayList<>();
    for (String module : MODULES) {
      sources.addAll(mainSources(module));
      sources.addAll(javaFiles(root.resolve(module).resolve("src/test/java")));
    }
    sources.addAll(javaFiles(root.resolve("example")));
    return sources;
  }

  /** The pages directly in a directory, as paths relative to the root. */
  List<String> pagesIn(String directory) {
    try (Stream<Path> files = Files.list(resolve(directory))) {
      return files
          .map(file -> root.relativize(file).toString())
          .filter(name -> name.endsWith(".md"))
          .sorted()
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static List<Path> javaFiles(Path directory) {
    try (Stream<Path> files = Files.walk(directory)) {
      return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
