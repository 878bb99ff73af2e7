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
 * like it were left out before it.
 */
public final class JsonLineFormatter extends Formatter {
  private static final int USUAL_LINE_LENGTH = 128;

  private final JsonFactory jsonFactory = new JsonFactory();

  @Override
  public String format(LogRecord line) {
    StringWriter text = new StringWriter(USUAL_LINE_LENGTH);
    try (JsonGenerator json = jsonFactory.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", line.getInstant().toString());
      json.writeStringField("level", line.getLevel().getName());
      writeEvent(json, line);
      if (line.getThrown() != null) {
        json.writeStringField("trace", stackTrace(line.getThrown()));
      }
      int leftOut = RateLimitFilter.leftOutBefore(line);
      if (leftOut > 0) {
        json.writeNumberField("left_out", leftOut);
      }
      json.writeEndObject();
    } catch (IOException e) { // a string writer throws none
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
      json.writeStringField("event", "note");
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
