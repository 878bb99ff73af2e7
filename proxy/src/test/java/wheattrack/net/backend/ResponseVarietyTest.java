package wheattrack.net.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import wheattrack.http.Headers;
import wheattrack.http.Response;

/** What is concluded from the responses of backends, and what a connection remembers of them. */
class ResponseVarietyTest {
  private final RecentResponses recentResponses = new RecentResponses();

  private static Response chunked(String body) {
    Headers headers = new Headers().with("Transfer-Encoding", "chunked");
    return new Response(200, headers, true, body.getBytes(StandardCharsets.US_ASCII));
  }

  /** Guards against the reuse of connections before anything is known of the responses. */
  @Test
  void connectionsAreReusedOnceResponsesHaveDiffered() {
    ResponseVariety variety = recentResponses.variety("a");
    for (int i = 0; i < 8; i++) {
      assertEquals(i < 4, variety.requiresNewConnection(false), "after " + i + " responses");
      assertTrue(variety.requiresNewConnection(true), "after " + i + " responses");
      variety.record(i);
    }
    assertEquals(ResponseVariety.Kind.DISTINCT, variety.kind());
    assertFalse(variety.requiresNewConnection(true));
    assertEquals(ResponseVariety.Kind.UNKNOWN, recentResponses.variety("b").kind());
  }

  /** Guards against usual responses that are dropped as copies where backends repeat them. */
  @Test
  void repeatedResponsesAreNotTakenForCopies() {
    ResponseVariety variety = recentResponses.variety("a");
    for (int i = 0; i < 20; i++) {
      variety.record(i);
    }
    variety.record(7);
    assertEquals(ResponseVariety.Kind.REPEATING, variety.kind());
    assertFalse(variety.requiresNewConnection(false));
    assertTrue(variety.requiresNewConnection(true));
  }

  /** Guards against a history that grows without limit, or forgets. */
  @Test
  void historyKeepsAllResponsesUntilItIsFull() {
    ResponseHistory history = new ResponseHistory();
    int count = 0;
    while (!history.isFull()) {
      history.add(chunked("response " + count), count++);
    }
    assertEquals(256, count);
    assertTrue(history.contains(0) && history.contains(255));
    assertFalse(history.contains(256));
  }

  /** Guards against a part of a copy that is passed on before it is complete. */
  @Test
  void startOfAnEarlierResponseMayBeACopy() {
    ResponseHistory history = new ResponseHistory();
    byte[] start = "x".repeat(64).getBytes(StandardCharsets.US_ASCII);
    assertFalse(history.mayContainStart(start));
    history.add(chunked("x".repeat(100)), 1);
    assertTrue(history.mayContainStart(start));
    assertTrue(history.mayContainStart(new byte[0]));
    assertFalse(history.mayContainStart("y".repeat(64).getBytes(StandardCharsets.US_ASCII)));
  }
}
