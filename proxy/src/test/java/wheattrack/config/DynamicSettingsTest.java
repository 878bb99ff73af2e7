package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.config.DynamicSettings.Verdict;

/**
 * Updates from a settings source: a snapshot first, then incremental updates; each is applied
 * completely or not at all, and only to the state that it follows.
 */
public class DynamicSettingsTest {
  private final DynamicSettings dynamicSettings = new DynamicSettings();

  private Verdict apply(String update) throws IOException {
    return dynamicSettings.apply(new JsonObjectReader(Json.object(update.replace('\'', '"'))));
  }

  /** One entry of `ruleSets`, with single quotes for double ones. */
  public static String requestClass(String name, long objectiveMillis, String effect) {
    return "{'name':'"
        + name
        + "','effect':'"
        + effect
        + "','responseTarget':"
        + objectiveMillis * 1000
        + ",'clientTimeout':"
        + objectiveMillis * 2000
        + "}";
  }

  private String state() {
    return dynamicSettings.revision()
        + " "
        + new TreeMap<>(dynamicSettings.requestClasses())
        + " "
        + dynamicSettings.tenantCount()
        + " "
        + dynamicSettings.totalQuota()
        + " "
        + dynamicSettings.limitNames();
  }

  private void applySnapshot() throws IOException {
    assertEquals(
        Verdict.APPLIED,
        apply(
            "{'rev':5,'source':'c1','all':true,'ruleSets':["
                + requestClass("a", 300, "read_like")
                + ","
                + requestClass("b", 600, "non_idempotent")
                + "],'tenants':[{'name':'t',"
                + "'quotaPerS':4}],'limits':{'maxDispatches':2}}"));
  }

  @Test
  void incrementalUpdateChangesState() throws Exception {
    applySnapshot();
    assertEquals(
        Verdict.APPLIED,
        apply(
            "{'rev':9,'after':5,'source':'c1','ruleSets':["
                + requestClass("c", 200, "read_like")
                + ",{'name':'a','gone':true}],'tenants':[{'name':'t','quotaPerS':1},{'name':'u',"
                + "'quotaPerS':2}],'limits':{'maxDispatches':null}}"));
    assertEquals(
        List.of("b", "c"), List.copyOf(new TreeMap<>(dynamicSettings.requestClasses()).keySet()));
    assertEquals(3, dynamicSettings.totalQuota());
    assertEquals(List.of(), dynamicSettings.limitNames());
    assertEquals(2000, dynamicSettings.summary()[0].latencyObjective());
    // the timeout of a removed class, whose requests may still be in flight
    assertEquals(12_000, dynamicSettings.longestClientTimeout());
  }

  /**
   * A gap, an older revision, the same one again, another source, an update before any snapshot.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'rev':9,'after':6,'source':'c1'",
        "'rev':4,'after':5,'source':'c1'",
        "'rev':5,'after':5,'source':'c1'",
        "'rev':9,'after':5,'source':'c2'",
        "'rev':9,'after':5",
        "'rev':9,'source':'c1'"
      },
      quoteCharacter = '~')
  void updateThatDoesNotFollowNeedsSnapshot(String revision) throws Exception {
    String update = "{" + revision + ",'ruleSets':[" + requestClass("a", 1, "read_like") + "]}";
    assertEquals(Verdict.SNAPSHOT_REQUIRED, apply(update));
    applySnapshot();
    String stateBefore = state();
    assertEquals(Verdict.SNAPSHOT_REQUIRED, apply(update));
    assertEquals(stateBefore, state());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "'ruleSets':[{'name':'a','effect':'twice'}]|ruleSets[0].effect",
        "'ruleSets':[{'name':'n','effect':'read_like'},{'name':'a','effect':'read_like','responseTarget':0}]"
            + "|ruleSets[1].responseTarget",
        "'ruleSets':[{'effect':'read_like'}]|ruleSets[0].name",
        "'ruleSets':[{'name':'a','gone':true},{'name':'a','gone':true}]|ruleSets[1].name",
        "'ruleSets':[{'name':'a','gone':true},{'name':'b','gone':true}]|ruleSets",
        "'ruleSets':[{'name':'n','effect':'read_like'}],'tenants':[{'name':'x','quotaPerS':-1}]"
            + "|tenants[0].quotaPerS",
        "'ruleSets':[{'name':'n','effect':'read_like'}],'limits':{'maxDispatches':0}|limits.maxDispatches",
        "'ruleSets':[{'name':'n','effect':'read_like'}],'limits':{'mayCancel':3}|limits.mayCancel",
        "'ruleSets':{}|ruleSets"
      })
  void invalidUpdateChangesNothing(String change, String key) throws Exception {
    applySnapshot();
    String stateBefore = state();
    InvalidConfigurationException exception =
        assertThrows(
            InvalidConfigurationException.class,
            () -> apply("{'rev':6,'after':5,'source':'c1'," + change + "}"));
    assertTrue(exception.getMessage().startsWith(key + ":"), exception.getMessage());
    assertEquals(stateBefore, state());
  }

  @Test
  void tooManyTenantsAreRejected() throws Exception {
    applySnapshot();
    String stateBefore = state();
    List<String> tenants = new ArrayList<>();
    for (int i = 0; i <= DynamicSettings.MAX_TENANTS; i++) {
      tenants.add("{'name':'" + i + "'}");
    }
    InvalidConfigurationException exception =
        assertThrows(
            InvalidConfigurationException.class,
            () ->
                apply(
                    "{'rev':6,'all':true,'ruleSets':["
                        + requestClass("a", 1, "read_like")
                        + "],'tenants':["
                        + String.join(",", tenants)
                        + "]}"));
    assertTrue(
        exception.getMessage().contains("expected at most 100000 entries, got 100001"),
        exception.getMessage());
    assertEquals(stateBefore, state());
  }

  /** After any sequence of updates, the running totals equal sums over all classes and tenants. */
  @Test
  void runningTotalsEqualSumsOverAll() throws Exception {
    Random random = new Random(7);
    applySnapshot();
    Map<String, Integer> quotas = new TreeMap<>(Map.of("t", 4));
    for (int revision = 6; revision < 1000; revision++) {
      apply(randomUpdate(random, revision, quotas));
      assertSummaryEqualsAllClasses();
      assertEquals(
          quotas.values().stream().mapToInt(Integer::intValue).sum(),
          dynamicSettings.totalQuota(),
          1e-6);
      assertEquals(quotas.size(), dynamicSettings.tenantCount());
    }
  }

  /** An update that changes or removes one class and one tenant; keeps the quotas up to date. */
  private static String randomUpdate(Random random, int revision, Map<String, Integer> quotas) {
    String name = "r" + random.nextInt(30);
    String tenant = "t" + random.nextInt(30);
    boolean isRemoved = random.nextInt(3) == 0;
    int quota = random.nextInt(9);
    String entry =
        isRemoved
            ? "{'name':'" + name + "','gone':true}"
            : requestClass(
                name, 1 + random.nextInt(9), random.nextBoolean() ? "read_like" : "non_idempotent");
    quotas.remove(tenant);
    if (!isRemoved) {
      quotas.put(tenant, quota);
    }
    return "{'rev':"
        + revision
        + ",'after':"
        + (revision - 1)
        + ",'source':'c1','ruleSets':["
        + entry
        + "],'tenants':[{'name':'"
        + tenant
        + "',"
        + (isRemoved ? "'gone':true" : "'quotaPerS':" + quota)
        + "}]}";
  }

  private void assertSummaryEqualsAllClasses() {
    RequestClass summary = dynamicSettings.summary()[0];
    Collection<RequestClass> classes = dynamicSettings.requestClasses().values();
    assertEquals(
        classes.stream().mapToLong(RequestClass::latencyObjective).min().orElse(0),
        summary.latencyObjective());
    assertEquals(
        classes.stream()
            .anyMatch(requestClass -> requestClass.idempotency() == Idempotency.IDEMPOTENT),
        summary.idempotency() == Idempotency.IDEMPOTENT);
  }
}
