package wheattrack.lab;

/** The result of a command of the lab, as the exit status of its process. */
enum ExitCode {
  /** The command succeeded: every expectation or rule that it checked was met. */
  SUCCESS(0),
  /** An expectation of the scenario was not met, or a rule of the soak was broken. */
  EXPECTATION_NOT_MET(1),
  /** The command line or a file is invalid. */
  BAD_INPUT(2),
  /**
   * The run has no result: the machine was too busy, a resource limit was exceeded, or a ledger is
   * corrupt.
   */
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
