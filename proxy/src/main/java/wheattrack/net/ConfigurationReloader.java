package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Logger;
import wheattrack.api.RequestClass;
import wheattrack.config.DynamicSettings;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.ProxyConfig;
import wheattrack.config.Settings;
import wheattrack.core.RequestCounters;
import wheattrack.log.EventLog;
import wheattrack.net.backend.BackendTimeouts;
import wheattrack.net.backend.Connector;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.request.RequestHandler;
import wheattrack.net.settings.SettingsSubscription;

/**
 * Applies new configurations while the proxy serves: the configuration file when it is read again,
 * and the settings of a watched source. Requests in flight, connections and measurements are not
 * affected. Runs on the event loop's thread only.
 */
final class ConfigurationReloader {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  private final RequestHandler requestHandler;
  private final Connector connector;
  private final EndpointDiscovery discovery;
  private final RequestCounters counters;
  private final DynamicSettings dynamicSettings;
  private ProxyConfig config;
  private long longestClientTimeout;

  /**
   * Creates a reloader for a proxy that was created with this configuration.
   *
   * @param dynamicSettings the settings of a watched source, which take precedence over the file's;
   *     null: none is watched
   */
  ConfigurationReloader(
      ProxyConfig config,
      RequestHandler requestHandler,
      Connector connector,
      EndpointDiscovery discovery,
      RequestCounters counters,
      DynamicSettings dynamicSettings) {
    this.config = config;
    this.requestHandler = requestHandler;
    this.connector = connector;
    this.discovery = discovery;
    this.counters = counters;
    this.dynamicSettings = dynamicSettings;
    longestClientTimeout = longestClientTimeout(config.settings());
  }

  private static long longestClientTimeout(Settings settings) {
    return Arrays.stream(PolicySettingsMapper.requestClasses(settings))
        .mapToLong(RequestClass::clientTimeout)
        .max()
        .orElse(0);
  }

  /** The configuration in force as read from the file, without the watched source's settings. */
  ProxyConfig config() {
    return config;
  }

  /**
   * The longest client timeout, in tenths of a millisecond, of any configuration so far: requests
   * in flight keep the settings of the class that they were accepted with.
   */
  long longestClientTimeout() {
    return longestClientTimeout;
  }

  /** Whether a source of settings is watched and none have been received from it so far. */
  boolean isWaitingForSource() {
    return dynamicSettings != null && !dynamicSettings.isPresent();
  }

  /** Reads the file again; an invalid one is logged and leaves the configuration unchanged. */
  void reload(Path file) {
    try {
      apply(ProxyConfig.reread(file, config));
      counters.countReloadApplied();
    } catch (InvalidConfigurationException e) {
      counters.countReloadRejected();
      String fileName = e.getMessage().startsWith(file.toString()) ? null : file.toString();
      EventLog.warning("configuration kept as it was", fileName, e.getMessage());
    }
  }

  /** Applies a configuration; logs the changed keys that take effect only after a restart. */
  private void apply(ProxyConfig next) {
    List<String> changedFixedKeys = next.changedFixedKeys(config);
    LOG.info(
        "configuration read again, list from "
            + next.discovery()
            + (changedFixedKeys.isEmpty() ? "" : "; only a restart brings in " + changedFixedKeys));
    requestHandler.applySettings(next.settings(), dynamicSettings);
    applyTimeouts(
        dynamicSettings == null ? next.settings() : dynamicSettings.overlay(next.settings()));
    longestClientTimeout = Math.max(longestClientTimeout, longestClientTimeout(next.settings()));
    discovery.changeAddress(next.discovery());
    config = next;
  }

  /** Applies the watched source's settings after they have changed. */
  void applyDynamicSettings() {
    requestHandler.applySettings(config.settings(), dynamicSettings);
    longestClientTimeout = Math.max(longestClientTimeout, dynamicSettings.longestClientTimeout());
    // The timeouts of the file are used where the source has none.
    applyTimeouts(dynamicSettings.overlay(config.settings()));
  }

  private void applyTimeouts(Settings settings) {
    BackendTimeouts timeouts = BackendTimeouts.of(settings);
    connector.setTimeouts(timeouts.connect(), timeouts.idleClose());
  }

  /**
   * Watches another source or scope of settings. Logs a warning and changes nothing where no source
   * is watched or the new configuration names none.
   *
   * @param subscription the subscription in use, or null
   * @param source the new source, or null
   * @param scope the new scope; empty: none
   */
  void resubscribe(SettingsSubscription subscription, InetSocketAddress source, String scope) {
    if (subscription == null || source == null) {
      EventLog.warning(
          "settings source not changed",
          null,
          "starting or stopping the watch on settings requires a restart");
    } else {
      subscription.changeSource(source, scope);
      discovery.changeScope(scope);
    }
  }
}
