package wheattrack.simulator;

import java.io.IOException;

/**
 * Input that is not the simulator's; the message says what is wrong and, at last, in which line.
 */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
