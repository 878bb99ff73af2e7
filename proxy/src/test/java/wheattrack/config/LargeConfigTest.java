package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A configuration too large for the heap ends in one line and exit code 2, not in an
 * OutOfMemoryError with a stack trace.
 */
class LargeConfigTest {
  private static final String MAX_HEAP = "-Xmx32m";

  @TempDir Path folder;

  /** Exit code and output of the command `check` on a file with this many tenants. */
  private String check(int tenantCount) throws Exception {
    StringBuilder text =
        new StringBuilder(
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                + "\"settings\":{\"ruleSets\":[{\"name\":\"a\",\"effect\":\"read_like\"}],\"tenants\":[");
    for (int i = 0; i < tenantCount; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"tenant-")
          .append(i)
          .append("\",\"quotaPerS\":1}");
    }
    Path file = Files.writeString(folder.resolve("config.json"), text + "]}}");
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classPath = System.getProperty("java.class.path");
    Process process =
        new ProcessBuilder(
                java,
                MAX_HEAP,
                "-XX:+UseSerialGC",
                "-cp",
                classPath,
                "wheattrack.Main",
                "check",
                "--config",
                file.toString())
            .redirectErrorStream(true)
            .start();
    String output =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    return process.waitFor()
        + " "
        + output.replace(folder.toString(), "DIR").replaceAll("[0-9]{5,}", "N");
  }

  @Test
  void tooLargeFileIsRejected() throws Exception {
    assertEquals(
        "2 wheattrack check: DIR/config.json: expected at most N bytes for this heap size, got N",
        check(430_000));
    assertTrue(check(60_000).startsWith("0 good"), check(60_000)); // near the limit: it is read
  }
}
