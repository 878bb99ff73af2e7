package wheattrack.lab.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import wheattrack.lab.referee.RuleViolation;
import wheattrack.lab.referee.ServiceSecond;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.scenario.Scenario;

/** Writes a run as JSON lines: its metrics, each described rule violation, each second. */
public final class ResultLines {
  private ResultLines() {}

  /** Writes the lines of one run; throws IOException if the file can't be written. */
  public static void write(Path file, Verdict verdict, long seed, String policy)
      throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
      writeRun(json, verdict, seed, policy);
      for (RuleViolation violation : verdict.violations()) {
        writeViolation(json, violation);
      }
      List<ServiceSecond> seconds = verdict.seconds();
      for (int i = 0; i < seconds.size(); i++) {
        writeSecond(json, i, seconds.get(i));
      }
    }
  }

  private static void writeRun(JsonGenerator json, Verdict verdict, long seed, String policy)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("what", "run");
    json.writeStringField("scenario", verdict.scenario().name());
    json.writeNumberField("seed", seed);
    json.writeStringField("policy", policy);
    json.writeBooleanField("ok", verdict.meetsExpectations());
    json.writeObjectFieldStart("figures");
    for (Map.Entry<String, Double> metric : verdict.metrics().entrySet()) {
      json.writeNumberField(metric.getKey(), metric.getValue());
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private static void writeViolation(JsonGenerator json, RuleViolation violation)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("what", "break");
    json.writeStringField("rule", violation.rule().toString());
    json.writeNumberField("at_ms", Scenario.toMillis(violation.at()));
    json.writeStringField("how", violation.description());
    json.writeEndObject();
  }

  private static void writeSecond(JsonGenerator json, int index, ServiceSecond second)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("what", "second");
    json.writeNumberField("at_s", index);
    json.writeNumberField("asked", second.valueOffered());
    json.writeNumberField("earned", second.valueEarned());
    json.writeNumberField("done", second.done());
    json.writeNumberField("denied", second.rejected());
    json.writeNumberField("aborted", second.failed());
    json.writeNumberField("dispatches", second.attempts());
    json.writeEndObject();
  }
}
