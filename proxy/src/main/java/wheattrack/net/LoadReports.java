package wheattrack.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.Settings;
import wheattrack.http.Response;
import wheattrack.log.EventLog;
import wheattrack.api.LoadBalancer;

/**
 * Where load reports stand on the wire, a JSON object of figures: the body of a probe's answer, as
 * the operators' protocol has it, or a header of a req's answer, which is this project's own
 * carriage and off unless a header is named. What can't be read tells nothing. For the loop's
 * thread alone.
 */
final class LoadReports {
  private static final int LONGEST = 1024;

  private final LoadBalancer rules;
  private final String header;

  /** header: of answers to reqs; empty where they carry no report. */
  LoadReports(LoadBalancer rules, String header) {
    this.rules = rules;
    this.header = header;
  }

  /** Tells the module what came with an answer to a req, or to a probe. */
  void read(BackendConnectionPool from, Response answer, boolean probe) {
    if (answer == null || !probe && header.isEmpty()) {
      return;
    }
    String text =
        probe ? new String(answer.body(), StandardCharsets.UTF_8) : answer.headers().first(header);
    if (text == null || text.isEmpty() || text.length() > LONGEST) {
      return;
    }
    try {
      Settings figures = new Settings(Json.object(text));
      rules.onLoadReport(
          from.index,
          figures.number(Settings.IN_FLIGHT_FIELD, -1),
          figures.number(Settings.QUEUED_FIELD, 0));
    } catch (IOException | InvalidConfigurationException e) {
      EventLog.detail("load report", from.id, () -> "can't be read: " + text);
    }
  }
}
