package wheattrack.lab.scale;

/** The commands that {@link ControlOnlyProcess} sends to {@link ControlOnlyMain}, one per line. */
enum ControlOnlyCommand {
  /** Answered by the number of proxies with a snapshot, and the length of the longest list. */
  KNOWN("known"),
  /** Answered by the bytes of heap in use after a garbage collection. */
  HEAP("heap"),
  /** Discards the recorded times at which revisions took effect. */
  FORGET("forget"),
  /** Answered by a line for each revision: its number and the times at which it took effect. */
  REVISION_TIMES("force"),
  /** Makes each proxy reload its configuration from the file named in the second field. */
  RELOAD("reload");

  /** The last line of each answer. */
  static final String END = "end";

  /** First field of the line that is sent once the proxies have started. */
  static final String STARTED = "began";

  private final String keyword;

  ControlOnlyCommand(String keyword) {
    this.keyword = keyword;
  }

  /** The first field of the command's line. */
  String keyword() {
    return keyword;
  }

  /** The command with this keyword; null if there is none. */
  static ControlOnlyCommand of(String keyword) {
    for (ControlOnlyCommand command : values()) {
      if (command.keyword.equals(keyword)) {
        return command;
      }
    }
    return null;
  }
}
