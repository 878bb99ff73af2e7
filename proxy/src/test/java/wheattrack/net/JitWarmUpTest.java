package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.Settings;

class JitWarmUpTest {
  private static Settings settings() throws Exception {
    return new Settings(
        Json.object(
            "{\"ruleSets\":[{\"name\":\"look\",\"effect\":\"read_like\"},"
                + "{\"name\":\"pay\",\"effect\":\"non_idempotent\"}],\"balancers\":14}"));
  }

  /**
   * Mass restart: a start that has no time left still runs each rule set once, and then is ready.
   */
  @Test
  void oncePerRuleSet() throws Exception {
    assertEquals(2, new JitWarmUp(settings()).run(4000, 0));
  }

  /** With time it runs on, to the number of reqs that was asked for. */
  @Test
  void upToTheNumber() throws Exception {
    int n = new JitWarmUp(settings()).run(50, 60_000_000_000L);
    assertTrue(n >= 50 && n < 60, n + " reqs");
  }
}
