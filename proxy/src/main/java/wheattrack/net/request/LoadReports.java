package wheattrack.net.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wheattrack.api.LoadBalancer;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.LoadReport;
import wheattrack.http.Response;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendConnectionPool;

/**
 * Reads load reports from backends' answers and passes them to the policy. A report is a JSON
 * object of numbers: the body of a probe's answer, as the operators' protocol has it, or a header
 * of an answer to a request, which is this project's own extension and off unless a header is
 * named. A report that cannot be read is ignored. Runs on the event loop's thread only.
 */
final class LoadReports {
  /** Bounds the text of a report, in characters. */
  private static final int MAX_LENGTH = 1024;

  private final LoadBalancer loadBalancer;
  private final String header;

  /**
   * Creates the reader.
   *
   * @param header the header of answers to requests that holds a report; empty: none does
   */
  LoadReports(LoadBalancer loadBalancer, String header) {
    this.loadBalancer = loadBalancer;
    this.header = header;
  }

  /**
   * An attempt of a request has received this answer.
   *
   * @param answer the answer or its head; null: none came
   */
  void onAnswer(BackendConnectionPool backend, Response answer) {
    if (answer != null && !header.isEmpty()) {
      report(backend, answer.headers().first(header));
    }
  }

  /**
   * A probe has received this answer.
   *
   * @param answer the answer; null: none came
   */
  void onProbeAnswer(BackendConnectionPool backend, Response answer) {
    if (answer != null) {
      report(backend, new String(answer.body(), StandardCharsets.UTF_8));
    }
  }

  private void report(BackendConnectionPool backend, String text) {
    if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
      return;
    }
    try {
      LoadReport report = LoadReport.of(new JsonObjectReader(Json.object(text)));
      loadBalancer.onLoadReport(backend.index(), report.inFlight(), report.queued());
    } catch (IOException | InvalidConfigurationException e) {
      EventLog.detail("load report", backend.id(), () -> "can't be read: " + text);
    }
  }
}
