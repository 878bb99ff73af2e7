package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;

/** How many file descriptors clients and backends get. */
class DescriptorBudgetTest {
  private static ProxyConfig config(int maxDescriptors, String furtherKeys) throws IOException {
    String text =
        "{'listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
            + furtherKeys
            + "'limits':{'sockets':"
            + maxDescriptors
            + "},'settings':{'ruleSets':[{'name':'buy','effect':'read_like',"
            + "'clientTimeout':1000000,'responseTarget':100000}]}}";
    return new ProxyConfig(Json.object(text.replace('\'', '"')));
  }

  @Test
  void reservesASixteenthAndAtLeast32() throws IOException {
    assertEquals(new DescriptorBudget(556, 345), DescriptorBudget.of(config(1024, ""), false));
    assertEquals(new DescriptorBudget(18, 11), DescriptorBudget.of(config(64, ""), false));
  }

  @Test
  void eachOfTwoProcessesGetsHalf() throws IOException {
    assertEquals(new DescriptorBudget(259, 161), DescriptorBudget.of(config(1024, ""), true));
    assertEquals(new DescriptorBudget(4, 2), DescriptorBudget.of(config(64, ""), true));
  }
}
