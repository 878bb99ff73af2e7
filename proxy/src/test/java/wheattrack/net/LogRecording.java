package wheattrack.net;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import wheattrack.testing.TraceRecorder;

/** Records log lines in the trace, without ports and paths, which differ from run to run. */
final class LogRecording extends Handler implements AutoCloseable {
  private final Logger logger = Logger.getLogger(ProxyTestHarness.LOGGER_NAME);
  private final TraceRecorder recorder;

  /** Starts to record the log lines of this level and above; {@link #close} ends it. */
  LogRecording(TraceRecorder recorder, Level level) {
    this.recorder = recorder;
    logger.addHandler(this);
    logger.setLevel(level);
  }

  @Override
  public void publish(LogRecord entry) {
    recorder.recordLine(
        "log: "
            + entry
                .getMessage()
                .replaceAll("127.0.0.1:\\d+", "PORT")
                .replaceAll("/\\S*/(wheattrack\\d+|proxy)\\.", "FILE."));
  }

  @Override
  public void flush() {
    // nothing is buffered
  }

  @Override
  public void close() {
    logger.removeHandler(this);
    logger.setLevel(Level.SEVERE);
  }
}
