package wheattrack.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The classes, members, test methods and pages that the pages about the present program refer to
 * exist. Pages about the past (results, incidents, change log, roadmap) may refer to what no longer
 * exists.
 */
class PageReferencesTest {
  private static final String CONCURRENT_EVENTS = "docs/concurrent-events.md";

  /** Pages directly in docs/ that are about the past; incidents have their own directory. */
  private static final Set<String> HISTORY = Set.of("docs/results.md", "docs/ROADMAP.md");

  /**
   * A camel-case name of at least two words, an acronym counted as one: {@code EventLoop}, {@code
   * HttpCodecTest}.
   */
  private static final String CAMEL_CASE = "[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+";

  /** A name that follows a package or precedes a member may be one word: {@code core.Lifecycle}. */
  private static final String CAPITALIZED = "[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)*";

  private static final String PACKAGE = "(?:[a-z][a-z0-9]*\\.)+";
  private static final String ARGUMENTS = "(?:\\([^()]*\\))?";

  private static final Pattern TYPE =
      Pattern.compile(
          "(?<type>" + CAMEL_CASE + "|" + PACKAGE + CAPITALIZED + "(?:\\." + CAPITALIZED + ")*)");

  private static final Pattern MEMBER =
      Pattern.compile(
          "(?<type>(?:"
              + PACKAGE
              + ")?"
              + CAPITALIZED
              + "(?:\\."
              + CAPITALIZED
              + ")*)"
              + "[.#](?<member>[a-z][A-Za-z0-9]*|[A-Z][A-Z0-9_]+)"
              + ARGUMENTS);

  private static final Pattern NESTED_TYPE =
      Pattern.compile("(?<type>" + CAPITALIZED + "(?:[.#]" + CAPITALIZED + ")+)");

  private static final Pattern JAVA_FILE = Pattern.compile("(?<type>" + CAPITALIZED + ")\\.java");

  private static final Pattern PAGE_PATH = Pattern.compile("docs/[A-Za-z0-9_/.-]+\\.md");

  private final Repository repository = Repository.find();
  private final SourceIndex sources = SourceIndex.of(repository.allSources());

  @Test
  void namedClassesAndMembersExist() {
    List<String> unknown = new ArrayList<>();
    for (Page page : currentPages()) {
      for (String span : page.codeSpans()) {
        if (!isValidReference(span)) {
          unknown.add(page.name() + ": " + span);
        }
      }
    }
    assertEquals(List.of(), unknown, "names on the pages that the sources do not declare");
  }

  /**
   * The last column of the tables of concurrent events names test methods, with or without their
   * classes.
   */
  @Test
  void testMethodsOfConcurrentEventsExist() {
    List<String> named = new ArrayList<>();
    for (Page.TableRow row : Page.read(repository, CONCURRENT_EVENTS).tableRows()) {
      if (row.header().get(row.header().size() - 1).equals("test")) {
        Page.codeSpans(row.lastCell()).stream()
            .filter(span -> span.matches("[a-z][A-Za-z0-9]+"))
            .forEach(named::add);
      }
    }
    assertFalse(named.isEmpty(), "the tables name no test");
    List<String> unknown =
        named.stream().filter(method -> !sources.hasMemberAnywhere(method)).toList();
    assertEquals(List.of(), unknown, "test methods on the page that no source declares");
  }

  @Test
  void namedPagesExist() {
    List<String> missing = new ArrayList<>();
    for (Page page : currentPages()) {
      missing.addAll(missingPages(page.name(), page.text()));
    }
    repository
        .allSources()
        .forEach(
            source -> missing.addAll(missingPages(source.toString(), Repository.read(source))));
    assertEquals(List.of(), missing, "pages that are referred to and do not exist");
  }

  private List<Page> currentPages() {
    Stream<String> root = Stream.of("README.md", "DEVELOPERS.md");
    Stream<String> docs =
        Stream.of("docs", "docs/operate")
            .flatMap(directory -> repository.pagesIn(directory).stream())
            .filter(page -> !HISTORY.contains(page));
    return Stream.concat(root, docs).map(name -> Page.read(repository, name)).toList();
  }

  private List<String> missingPages(String name, String text) {
    return PAGE_PATH
        .matcher(text)
        .results()
        .map(path -> path.group())
        .filter(path -> !Files.isRegularFile(repository.resolve(path)))
        .map(path -> name + ": " + path)
        .toList();
  }

  /** False if a code span has the form of a class or member name that no source declares. */
  private boolean isValidReference(String span) {
    for (Pattern form : List.of(TYPE, JAVA_FILE, NESTED_TYPE)) {
      Matcher type = form.matcher(span);
      if (type.matches()) {
        return sources.hasType(type.group("type").replace('#', '.'));
      }
    }
    Matcher member = MEMBER.matcher(span);
    if (member.matches()) {
      return sources.hasMember(member.group("type"), member.group("member"));
    }
    return true;
  }
}
