package wheattrack.lab.referee;

import java.io.IOException;

/**
 * A ledger that can't be judged: truncated, corrupt or of another format. Its run shows nothing.
 */
public final class InvalidLedgerException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidLedgerException(String message) {
    super(message);
  }
}
