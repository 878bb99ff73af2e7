package wheattrack.simulator;

import java.io.IOException;
import wheattrack.config.OneLineText;

/**
 * Input that does not follow the simulator's wire format. The message says what is wrong, and names
 * the field if it concerns one; {@link SimulatorAdapter} puts the line number in front of it. The
 * message is always one line: each control character and line break in it is replaced by a question
 * mark.
 */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(OneLineText.of(message));
  }
}
