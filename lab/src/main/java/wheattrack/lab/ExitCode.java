package wheattrack.lab;

/** What a command of the lab ends with. */
enum ExitCode {
  /** All expectations were met. */
  GOOD(0),
  /** An expectation was not met. */
  FELL_SHORT(1),
  /** The command line or a file could not be used. */
  BAD_INPUT(2),
  /** The run shows nothing: the machine was too busy, or a ledger is corrupt. */
  INCONCLUSIVE(3);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** The process's exit status. */
  int status() {
    return status;
  }
}
