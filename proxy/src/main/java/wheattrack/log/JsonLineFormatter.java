package wheattrack.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log line as one JSON object: time, level, event, id, cause, stack trace, and how many
 * lines of the same event were suppressed before it. Thread-safe.
 */
public final class JsonLineFormatter extends Formatter {
  /** The initial capacity, in characters, for one line. */
  private static final int INITIAL_CAPACITY = 128;

  /** The event of lines that were not written through {@link EventLog}. */
  private static final String OTHER_EVENT = "note";

  private final JsonFactory jsonFactory = new JsonFactory();

  @Override
  public String format(LogRecord line) {
    StringWriter text = new StringWriter(INITIAL_CAPACITY);
    try (JsonGenerator json = jsonFactory.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", line.getInstant().toString());
      json.writeStringField("level", line.getLevel().getName());
      writeEvent(json, line);
      if (line.getThrown() != null) {
        json.writeStringField("trace", stackTrace(line.getThrown()));
      }
      int suppressed = RateLimitFilter.suppressedBefore(line);
      if (suppressed > 0) {
        json.writeNumberField("left_out", suppressed);
      }
      json.writeEndObject();
    } catch (IOException e) { // a StringWriter throws none
      throw new UncheckedIOException(e);
    }
    return text.append('\n').toString();
  }

  private void writeEvent(JsonGenerator json, LogRecord line) throws IOException {
    if (line instanceof EventLog event) {
      json.writeStringField("event", event.event().replace(' ', '-'));
      writeUnlessNull(json, "id", event.id());
      writeUnlessNull(json, "cause", event.cause());
    } else {
      json.writeStringField("event", OTHER_EVENT);
      json.writeStringField("cause", formatMessage(line));
    }
  }

  private static void writeUnlessNull(JsonGenerator json, String name, String value)
      throws IOException {
    if (value != null) {
      json.writeStringField(name, value);
    }
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter trace = new StringWriter();
    thrown.printStackTrace(new PrintWriter(trace));
    return trace.toString();
  }
}
