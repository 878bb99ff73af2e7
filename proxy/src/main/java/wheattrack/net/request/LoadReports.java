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
 * Reads load reports from backends' responses and passes them to the policy. A report is a JSON
 * object of numbers. It is the body of the response to a probe, as the operators' protocol defines
 * it, or a header of the response to a request, which is an extension of this project and disabled
 * unless a header is named. An invalid report is logged and ignored. Runs on the event loop's
 * thread only.
 */
final class LoadReports {
  /** The longest text of a report, in characters; a longer one is ignored. */
  private static final int MAX_LENGTH = 1024;

  private final LoadBalancer loadBalancer;
  private final String header;

  /**
   * Creates the reader.
   *
   * @param header the header of responses to requests that holds a report; empty: none does
   */
  LoadReports(LoadBalancer loadBalancer, String header) {
    this.loadBalancer = loadBalancer;
    this.header = header;
  }

  /**
   * An attempt of a request has received this response.
   *
   * @param response the response or its head; null: none was received
   */
  void onResponse(BackendConnectionPool backend, Response response) {
    if (response != null && !header.isEmpty()) {
      report(backend, response.headers().first(header));
    }
  }

  /**
   * A probe has received this response.
   *
   * @param response null: none was received
   */
  void onProbeResponse(BackendConnectionPool backend, Response response) {
    if (response != null) {
      report(backend, new String(response.body(), StandardCharsets.UTF_8));
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
      EventLog.detail(
          "load report ignored",
          backend.id(),
          () -> "expected a JSON object of numbers, got " + text);
    }
  }
}
