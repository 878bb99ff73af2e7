package wheattrack.simulator;

import java.io.IOException;

/**
 * Input that does not follow the simulator's wire format. The message says what is wrong, and names
 * the field if it concerns one; {@link SimulatorAdapter} puts the line number in front of it.
 */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
