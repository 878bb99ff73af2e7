package wheattrack.lab.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;

/** A run as JSON lines: its figures, each break of a rule, each second. */
public final class ResultLines {
  private ResultLines() {}

  public static void write(Path file, Verdict v, long seed, String policy) throws IOException {
    try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      out.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      out.writeStartObject();
      out.writeStringField("what", "run");
      out.writeStringField("scenario", v.scenario().name());
      out.writeNumberField("seed", seed);
      out.writeStringField("policy", policy);
      out.writeBooleanField("ok", v.isGood());
      out.writeObjectFieldStart("figures");
      for (Map.Entry<String, Double> f : v.figures().entrySet()) {
        out.writeNumberField(f.getKey(), f.getValue());
      }
      out.writeEndObject();
      out.writeEndObject();
      for (Referee.Break b : v.breaks()) {
        out.writeStartObject();
        out.writeStringField("what", "break");
        out.writeStringField("rule", b.rule());
        out.writeNumberField("at_ms", b.at() / 10.0);
        out.writeStringField("how", b.how());
        out.writeEndObject();
      }
      List<Referee.Second> seconds = v.seconds();
      for (int i = 0; i < seconds.size(); i++) {
        Referee.Second s = seconds.get(i);
        out.writeStartObject();
        out.writeStringField("what", "second");
        out.writeNumberField("at_s", i);
        out.writeNumberField("asked", s.asked);
        out.writeNumberField("earned", s.earned);
        out.writeNumberField("done", s.done);
        out.writeNumberField("denied", s.denied);
        out.writeNumberField("aborted", s.aborted);
        out.writeNumberField("dispatches", s.dispatches);
        out.writeEndObject();
      }
    }
  }
}
