package wheattrack.lab.referee;

import java.io.IOException;

/**
 * A ledger that can't be judged because it is truncated, corrupt or of another format; its run
 * gives no verdict.
 */
public final class InvalidLedgerException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidLedgerException(String message) {
    super(message);
  }
}
