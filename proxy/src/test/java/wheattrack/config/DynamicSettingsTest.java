package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
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
 * What a source of settings tells: whole, then by changes; nothing half, nothing that does not
 * follow.
 */
public class DynamicSettingsTest {
  private final DynamicSettings feed = new DynamicSettings();

  private Verdict take(String news) throws IOException {
    return feed.apply(new Settings(Json.object(news.replace('\'', '"'))));
  }

  public static String set(String name, long targetMillis, String effect) {
    return "{'name':'"
        + name
        + "','effect':'"
        + effect
        + "','responseTarget':"
        + targetMillis * 1000
        + ",'clientTimeout':"
        + targetMillis * 2000
        + "}";
  }

  private String state() {
    return feed.revision()
        + " "
        + new TreeMap<>(feed.requestClasses())
        + " "
        + feed.tenantCount()
        + " "
        + feed.totalQuota()
        + " "
        + feed.limitNames();
  }

  private void whole() throws IOException {
    assertEquals(
        Verdict.APPLIED,
        take(
            "{'rev':5,'source':'c1','all':true,'ruleSets':["
                + set("a", 300, "read_like")
                + ","
                + set("b", 600, "non_idempotent")
                + "],'tenants':[{'name':'t',"
                + "'quotaPerS':4}],'limits':{'maxDispatches':2}}"));
  }

  @Test
  void changes() throws Exception {
    whole();
    assertEquals(
        Verdict.APPLIED,
        take(
            "{'rev':9,'after':5,'source':'c1','ruleSets':["
                + set("c", 200, "read_like")
                + ",{'name':'a','gone':true}],'tenants':[{'name':'t','quotaPerS':1},{'name':'u',"
                + "'quotaPerS':2}],'limits':{'maxDispatches':null}}"));
    assertEquals(List.of("b", "c"), List.copyOf(new TreeMap<>(feed.requestClasses()).keySet()));
    assertEquals(3, feed.totalQuota());
    assertEquals(List.of(), feed.limitNames());
    assertEquals(2000, feed.summary()[0].latencyObjective());
    assertEquals(
        12_000,
        feed.longestClientTimeout()); // of a set that is gone, whose requests may be under way
  }

  /** A gap, an older revision, the same one again, another source, changes before any whole. */
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
  void whatDoesNotFollow(String how) throws Exception {
    String news = "{" + how + ",'ruleSets':[" + set("a", 1, "read_like") + "]}";
    assertEquals(Verdict.SNAPSHOT_REQUIRED, take(news));
    whole();
    String was = state();
    assertEquals(Verdict.SNAPSHOT_REQUIRED, take(news));
    assertEquals(was, state());
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
  void allOrNothing(String change, String key) throws Exception {
    whole();
    String was = state();
    InvalidConfigurationException bad =
        assertThrows(
            InvalidConfigurationException.class,
            () -> take("{'rev':6,'after':5,'source':'c1'," + change + "}"));
    assertTrue(bad.getMessage().startsWith(key + ":"), bad.getMessage());
    assertEquals(was, state());
  }

  @Test
  void bounds() throws Exception {
    whole();
    String was = state();
    List<String> tenants = new ArrayList<>();
    for (int i = 0; i <= DynamicSettings.MAX_TENANTS; i++) {
      tenants.add("{'name':'" + i + "'}");
    }
    InvalidConfigurationException bad =
        assertThrows(
            InvalidConfigurationException.class,
            () ->
                take(
                    "{'rev':6,'all':true,'ruleSets':["
                        + set("a", 1, "read_like")
                        + "],'tenants':["
                        + String.join(",", tenants)
                        + "]}"));
    assertTrue(bad.getMessage().contains("100001 are over the 100000"), bad.getMessage());
    assertEquals(was, state());
  }

  /** After any course of changes, what is kept along equals what is counted over all. */
  @Test
  void summaryIsThatOfAll() throws Exception {
    Random draws = new Random(7);
    whole();
    Map<String, Integer> quotas = new TreeMap<>(Map.of("t", 4));
    for (int rev = 6; rev < 1000; rev++) {
      String name = "r" + draws.nextInt(30), tenant = "t" + draws.nextInt(30);
      boolean gone = draws.nextInt(3) == 0;
      int quota = draws.nextInt(9);
      String set =
          gone
              ? "{'name':'" + name + "','gone':true}"
              : set(
                  name, 1 + draws.nextInt(9), draws.nextBoolean() ? "read_like" : "non_idempotent");
      take(
          "{'rev':"
              + rev
              + ",'after':"
              + (rev - 1)
              + ",'source':'c1','ruleSets':["
              + set
              + "],'tenants':[{'name':'"
              + tenant
              + "',"
              + (gone ? "'gone':true" : "'quotaPerS':" + quota)
              + "}]}");
      quotas.remove(tenant);
      if (!gone) {
        quotas.put(tenant, quota);
      }
      RequestClass sum = feed.summary()[0];
      assertEquals(
          feed.requestClasses().values().stream()
              .mapToLong(RequestClass::latencyObjective)
              .min()
              .orElse(0),
          sum.latencyObjective());
      assertEquals(
          feed.requestClasses().values().stream()
              .anyMatch(s -> s.idempotency() == Idempotency.IDEMPOTENT),
          sum.idempotency() == Idempotency.IDEMPOTENT);
      assertEquals(quotas.values().stream().mapToInt(q -> q).sum(), feed.totalQuota(), 1e-6);
      assertEquals(quotas.size(), feed.tenantCount());
    }
  }
}
