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
 * A log line as one JSON object: time, level, event, id, cause, and how many like it were left out.
 */
public final class JsonLineFormatter extends Formatter {
  private final JsonFactory json = new JsonFactory();

  @Override
  public String format(LogRecord r) {
    StringWriter text = new StringWriter(128);
    try (JsonGenerator out = json.createGenerator(text)) {
      out.writeStartObject();
      out.writeStringField("time", r.getInstant().toString());
      out.writeStringField("level", r.getLevel().getName());
      if (r instanceof EventLog e) {
        out.writeStringField("event", e.event.replace(' ', '-'));
        field(out, "id", e.id);
        field(out, "cause", e.cause);
      } else {
        out.writeStringField("event", "note");
        out.writeStringField("cause", formatMessage(r));
      }
      if (r.getThrown() != null) {
        StringWriter trace = new StringWriter();
        r.getThrown().printStackTrace(new PrintWriter(trace));
        out.writeStringField("trace", trace.toString());
      }
      int left = RateLimitFilter.leftOut(r);
      if (left > 0) {
        out.writeNumberField("left_out", left);
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.append('\n').toString();
  }

  private static void field(JsonGenerator out, String name, String value) throws IOException {
    if (value != null) {
      out.writeStringField(name, value);
    }
  }
}
