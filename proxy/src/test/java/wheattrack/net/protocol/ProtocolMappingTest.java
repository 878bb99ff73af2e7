package wheattrack.net.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.RequestClass;
import wheattrack.http.Headers;
import wheattrack.http.Request;

/** Checks how {@link ProtocolMapping} parses a client's headers. */
class ProtocolMappingTest {
  /**
   * Checks timeouts and cost hints, in tenths of a millisecond. A number too large for a long must
   * be reduced to the maximum, not overflow into another number.
   */
  @Test
  void timeoutsAndCostHintsAreCheckedAndBounded() {
    RequestClass requestClass =
        new RequestClass(
            0, 5000, 12_000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 0, false);
    StringBuilder results = new StringBuilder();
    for (String text :
        new String[] {
          "0",
          "1",
          "0.48",
          "1.",
          "99999999999999999999",
          "18446744073709551617",
          "1e3",
          "-1",
          ".5",
          "",
          "123456789012345678901"
        }) {
      Headers headers =
          new Headers()
              .with("Request-Id", "7")
              .with("Request-Timeout", text)
              .with("Work-Hint", text);
      try {
        ParsedRequest request =
            ProtocolMapping.parse(
                new Request("GET", "/buy/7?x", headers, true, new byte[0]),
                Map.of("buy", requestClass));
        results.append(
            text + ": timeout " + request.timeout() + ", cost " + request.costHint() + "\n");
      } catch (InvalidRequestException e) {
        results.append(text + ": " + e.status() + " " + e.getMessage() + "\n");
      }
    }
    assertEquals(
        """
        0: timeout 0, cost 0
        1: timeout 10000, cost 1
        0.48: timeout 4800, cost 0
        1.: timeout 10000, cost 1
        99999999999999999999: timeout 12000, cost 536870911
        18446744073709551617: timeout 12000, cost 536870911
        1e3: 400 Request-Timeout: expected an unsigned decimal number, up to 20 characters
        -1: 400 Request-Timeout: expected an unsigned decimal number, up to 20 characters
        .5: 400 Request-Timeout: expected an unsigned decimal number, up to 20 characters
        : 400 Request-Timeout: expected an unsigned decimal number, up to 20 characters
        123456789012345678901: 400 Request-Timeout: expected an unsigned decimal number, up to 20 characters
        """,
        results.toString());
  }
}
