package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A configuration too large for the heap: one line and exit 2, no stack trace and no death by
 * memory.
 */
class LargeConfigTest {
  private static final String HEAP = "-Xmx32m";

  @TempDir Path folder;

  private String check(int tenants) throws Exception {
    StringBuilder text =
        new StringBuilder(
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                + "\"settings\":{\"ruleSets\":[{\"name\":\"a\",\"effect\":\"read_like\"}],\"tenants\":[");
    for (int i = 0; i < tenants; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"tenant-")
          .append(i)
          .append("\",\"quotaPerS\":1}");
    }
    Path file = Files.writeString(folder.resolve("config.json"), text + "]}}");
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    Process process =
        new ProcessBuilder(
                java,
                HEAP,
                "-XX:+UseSerialGC",
                "-cp",
                classes,
                "wheattrack.Main",
                "check",
                "--config",
                file.toString())
            .redirectErrorStream(true)
            .start();
    String said =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    return process.waitFor()
        + " "
        + said.replace(folder.toString(), "DIR").replaceAll("[0-9]{5,}", "N");
  }

  @Test
  void tooLarge() throws Exception {
    assertEquals(
        "2 wheattrack check: DIR/config.json: N bytes, over the N that the heap allows",
        check(430_000));
    assertTrue(check(60_000).startsWith("0 good"), check(60_000)); // as large as may be: it is read
  }
}
