package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.Settings;

/** Checks how many requests a warm-up runs. */
class JitWarmUpTest {
  private static Settings settings() throws Exception {
    return new Settings(
        Json.object(
            "{\"ruleSets\":[{\"name\":\"look\",\"effect\":\"read_like\"},"
                + "{\"name\":\"pay\",\"effect\":\"non_idempotent\"}],\"balancers\":14}"));
  }

  /** Mass restart: a start that has no time left still runs each class once, then is ready. */
  @Test
  void eachClassRunsOnceWithoutTime() throws Exception {
    assertEquals(2, new JitWarmUp(settings()).run(4000, 0));
  }

  /** With time left it runs on, up to the number of requests that was requested. */
  @Test
  void runsUpToTheNumberOfRequests() throws Exception {
    int requests = new JitWarmUp(settings()).run(50, 60_000_000_000L);
    assertTrue(requests >= 50 && requests < 60, requests + " requests");
  }
}
