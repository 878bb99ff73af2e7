package wheattrack.config;

/** How a command ends, as the code that its process exits with. */
public enum ExitCode {
  /** The command did what it was asked to. */
  SUCCESS(0),
  /** The command is done, but leaves something to the operator. */
  ACTION_REQUIRED(1),
  /** The command line or a file can't be used; a message says why. */
  BAD_INPUT(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** The process's exit code. */
  public int code() {
    return code;
  }
}
