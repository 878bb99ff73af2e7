package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.Settings;

/** How many requests a warm-up runs. */
class JitWarmUpTest {
  private static final int MAX_REQUESTS = 4000;
  private static final long ONE_MINUTE_NANOS = 60_000_000_000L;

  private static Settings settings() throws Exception {
    return new Settings(
        Json.object(
            "{\"ruleSets\":[{\"name\":\"look\",\"effect\":\"read_like\"},"
                + "{\"name\":\"pay\",\"effect\":\"non_idempotent\"}],\"balancers\":14}"));
  }

  /** Without any time left (as in a mass restart) a warm-up still runs each class once. */
  @Test
  void eachClassRunsOnceWithoutTimeLeft() throws Exception {
    assertEquals(2, new JitWarmUp(settings()).run(MAX_REQUESTS, 0));
  }

  /** With enough time a warm-up runs the given number of requests, and few more. */
  @Test
  void runsTheGivenNumberOfRequests() throws Exception {
    int requests = new JitWarmUp(settings()).run(50, ONE_MINUTE_NANOS);
    assertTrue(requests >= 50 && requests < 60, "expected 50 to 59 requests, got " + requests);
  }
}
