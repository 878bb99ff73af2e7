package wheattrack.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The package tables of the architecture page name exactly the packages that exist. */
class ArchitecturePackagesTest {
  private static final String ROOT_PACKAGE_CELL = "(root)";
  private static final String PACKAGE_INFO = "package-info.java";

  private final Repository repository = Repository.find();

  @ParameterizedTest
  @ValueSource(strings = {"decisions", "proxy", "lab"})
  void eachPackageWithTypesIsNamed(String module) {
    Set<String> missing =
        packages(module, source -> !source.getFileName().toString().equals(PACKAGE_INFO));
    missing.removeAll(namedPackages(module));
    assertEquals(Set.of(), missing, "packages of " + module + " that the page does not name");
  }

  @ParameterizedTest
  @ValueSource(strings = {"decisions", "proxy", "lab"})
  void eachNamedPackageExists(String module) {
    Set<String> unknown = namedPackages(module);
    unknown.removeAll(packages(module, source -> true));
    assertEquals(Set.of(), unknown, "packages on the page that " + module + " does not have");
  }

  private Set<String> packages(String module, Predicate<Path> filter) {
    Path sourceRoot = repository.mainSourceRoot(module);
    return repository.mainSources(module).stream()
        .filter(filter)
        .map(source -> sourceRoot.relativize(source.getParent()).toString())
        .map(directory -> directory.replace('/', '.').replace('\\', '.'))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /**
   * The packages, by full name, in the first column of the tables that stand under the module's
   * heading and have "package" as the first column.
   */
  private Set<String> namedPackages(String module) {
    Set<String> names = new TreeSet<>();
    for (Page.TableRow row : Page.read(repository, "docs/architecture.md").tableRows()) {
      List<String> headings = row.headings();
      boolean isOfModule = headings.contains("Packages") && headings.contains(module);
      if (isOfModule && row.header().get(0).equals("package")) {
        String cell = row.cells().get(0);
        if (cell.equals(ROOT_PACKAGE_CELL)) {
          names.add(rootPackage(module));
        }
        Page.codeSpans(cell).forEach(name -> names.add(rootPackage(module) + "." + name));
      }
    }
    return names;
  }

  private static String rootPackage(String module) {
    return module.equals("lab") ? "wheattrack.lab" : "wheattrack";
  }
}
