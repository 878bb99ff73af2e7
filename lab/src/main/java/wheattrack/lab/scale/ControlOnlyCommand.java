package wheattrack.lab.scale;

/** The commands that {@link ControlOnlyProcess} sends to {@link ControlOnlyMain}, one a line. */
enum ControlOnlyCommand {
  /** Answered by the number of proxies with an endpoint list, and the most backends of one. */
  KNOWN("known"),
  /** Answered by the bytes of heap in use after a collection. */
  HEAP("heap"),
  /** Forgets when revisions took effect so far. */
  FORGET("forget"),
  /** Answered by a line for each revision: its number, and when it took effect at each proxy. */
  REVISION_TIMES("force"),
  /** Reloads the configuration from the file that follows. */
  RELOAD("reload");

  /** The last line of each answer. */
  static final String END = "end";

  /** First field of the line that is sent once the proxies have started. */
  static final String STARTED = "began";

  private final String keyword;

  ControlOnlyCommand(String keyword) {
    this.keyword = keyword;
  }

  /** The first field of its line. */
  String keyword() {
    return keyword;
  }

  /** The command of this keyword; null for an unknown one. */
  static ControlOnlyCommand of(String keyword) {
    for (ControlOnlyCommand command : values()) {
      if (command.keyword.equals(keyword)) {
        return command;
      }
    }
    return null;
  }
}
