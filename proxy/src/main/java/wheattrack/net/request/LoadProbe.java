package wheattrack.net.request;

import wheattrack.api.AttemptOutcome;
import wheattrack.api.ProbeCallback;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.net.backend.BackendAttempt;
import wheattrack.net.backend.BackendConnectionPool;
import wheattrack.net.protocol.ProtocolMapping;
import wheattrack.net.settings.SettingsApplier;

/**
 * A probe of a backend: requests its load, or its health if backends report no load. The policy
 * receives the outcome in a separate step of the event loop. Runs on the event loop's thread only.
 */
final class LoadProbe extends BackendAttempt {
  private final SettingsApplier settings;
  private final LoadReports loadReports;
  private final ProbeCallback callback;

  /** Creates a probe that is sent now. */
  LoadProbe(
      BackendConnectionPool backend,
      SettingsApplier settings,
      LoadReports loadReports,
      ProbeCallback callback) {
    super(backend);
    this.settings = settings;
    this.loadReports = loadReports;
    this.callback = callback;
  }

  @Override
  protected Request buildRequest() {
    return ProtocolMapping.probeRequest(settings.expectsLoadReports());
  }

  @Override
  protected boolean isProbe() {
    return true;
  }

  @Override
  protected void onEnd(AttemptOutcome finalOutcome, Response response) {
    loop()
        .defer(
            () -> {
              loadReports.onProbeResponse(backend(), response);
              callback.ended(finalOutcome == AttemptOutcome.DONE, loop().now() - sentAt());
            });
  }
}
