package wheattrack.config;

/** The result of a command, as the code with which its process exits. */
public enum ExitCode {
  /** The command succeeded. */
  SUCCESS(0),
  /** The command succeeded, but the operator has something left to do. */
  ACTION_REQUIRED(1),
  /** The command line or a file is invalid; a message names the fault. */
  BAD_INPUT(2),
  /** The event loop has failed; requests that were in flight have not been answered. */
  INTERNAL_ERROR(3);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** The process's exit code. */
  public int code() {
    return code;
  }
}
