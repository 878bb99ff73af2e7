package wheattrack.net.client;

import java.nio.ByteBuffer;

/**
 * Receives the parts of a long request body, one for each call of {@link RequestBody#requestPart}.
 * It is called on the event loop's thread.
 */
@FunctionalInterface
public interface BodyPartConsumer {
  /**
   * Receives a part.
   *
   * @param part the bytes; may be empty if it is the last one
   * @param isLast whether the body ends with it
   */
  void accept(ByteBuffer part, boolean isLast);
}
