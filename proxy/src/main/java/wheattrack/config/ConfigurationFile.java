package wheattrack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/** Reads a JSON configuration file that fits into the heap. */
final class ConfigurationFile {
  /**
   * The largest file is the heap's size divided by this: the parsed objects take five times as much
   * memory as the file.
   */
  private static final int HEAP_DIVISOR = 12;

  private ConfigurationFile() {}

  /**
   * The file's one object, in maps that the caller may change.
   *
   * @throws InvalidConfigurationException if the file is missing, too large or no JSON object
   */
  static Map<String, Object> read(Path file) {
    try {
      long size = Files.size(file);
      long maxSize = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
      if (size > maxSize) {
        // a file of 430,000 tenants caused an OutOfMemoryError with a stack trace
        throw new InvalidConfigurationException(
            file.toString(),
            "expected at most " + maxSize + " bytes for this heap size, got " + size);
      }
      return Json.object(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigurationException(file.toString(), "no such file");
    } catch (IOException e) {
      String fault = e.getMessage() == null ? e.toString() : e.getMessage().split("\n")[0];
      throw new InvalidConfigurationException(file.toString(), "unreadable: " + fault);
    }
  }
}
