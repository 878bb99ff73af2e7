package wheattrack.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A new temporary directory; closing it deletes it with its contents. */
public final class TemporaryDirectory implements AutoCloseable {
  private final Path path;

  /**
   * Creates a directory whose name begins with this prefix.
   *
   * @throws IOException if it can't be created
   */
  public TemporaryDirectory(String prefix) throws IOException {
    path = Files.createTempDirectory(prefix);
  }

  /** The directory. */
  public Path path() {
    return path;
  }

  /**
   * Deletes the directory.
   *
   * @throws IOException if one of its files can't be deleted
   */
  @Override
  public void close() throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
