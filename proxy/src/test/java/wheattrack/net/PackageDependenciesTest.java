package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each package below {@code wheattrack.net} uses only the packages that it may depend on. */
class PackageDependenciesTest {
  private static final Path SOURCES = Path.of("src/main/java/wheattrack/net");

  /** A qualified name: its group is the package or class directly in {@code wheattrack.net}. */
  private static final Pattern NAME_IN_NET =
      Pattern.compile("\\bwheattrack\\.net\\.(?<next>[A-Za-z]\\w*)");

  /** For each package, those that it may depend on, as in {@code docs/architecture.md}. */
  private static final Map<String, Set<String>> ALLOWED =
      Map.of(
          "protocol", Set.of(),
          "client", Set.of("protocol"),
          "backend", Set.of("protocol"),
          "discovery", Set.of("backend"),
          "settings", Set.of("backend", "discovery"),
          "lease", Set.of(),
          "request", Set.of("backend", "client", "discovery", "lease", "protocol", "settings"));

  @Test
  void eachPackageHasItsDependenciesListed() throws IOException {
    try (Stream<Path> entries = Files.list(SOURCES)) {
      List<String> packages =
          entries
              .filter(Files::isDirectory)
              .map(directory -> directory.getFileName().toString())
              .sorted()
              .toList();
      assertEquals(ALLOWED.keySet().stream().sorted().toList(), packages);
    }
  }

  @Test
  void packagesUseOnlyTheirAllowedDependencies() throws IOException {
    Map<String, Set<String>> used = new TreeMap<>();
    for (String name : ALLOWED.keySet()) {
      used.put(name, dependencies(name));
    }
    assertEquals(new TreeMap<>(ALLOWED), used);
  }

  /** The packages of, and classes directly in, {@code wheattrack.net} that a package names. */
  private static Set<String> dependencies(String packageName) throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.list(SOURCES.resolve(packageName))) {
      for (Path file : files.toList()) {
        NAME_IN_NET
            .matcher(Files.readString(file))
            .results()
            .map(name -> name.group(1))
            .forEach(names::add);
      }
    }
    names.remove(packageName);
    return names;
  }
}
