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
 * Applies new configurations while the proxy serves: the file when it is read again, and the
 * settings of a watched source. Requests, connections and measurements stay. Runs on the event
 * loop's thread only.
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
   * A reloader of a proxy that was built by this configuration.
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

  /** The configuration in force, as the file has it. */
  ProxyConfig config() {
    return config;
  }

  /**
   * The longest time that a client may wait, in tenths of a millisecond, by any configuration so
   * far: requests in flight keep the class that they were accepted with.
   */
  long longestClientTimeout() {
    return longestClientTimeout;
  }

  /** Whether a source of settings is watched and has sent none so far. */
  boolean isWaitingForSource() {
    return dynamicSettings != null && !dynamicSettings.isPresent();
  }

  /** Reads the file again; a bad one leaves the configuration as it is and is logged. */
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

  /** Names in the log what only a restart can change. */
  private void apply(ProxyConfig next) {
    List<String> fixedKeys = next.changedFixedKeys(config);
    LOG.info(
        "configuration read again, list from "
            + next.discovery()
            + (fixedKeys.isEmpty() ? "" : "; only a restart brings in " + fixedKeys));
    requestHandler.applySettings(next.settings(), dynamicSettings);
    applyTimeouts(
        dynamicSettings == null ? next.settings() : dynamicSettings.overlay(next.settings()));
    longestClientTimeout = Math.max(longestClientTimeout, longestClientTimeout(next.settings()));
    discovery.changeAddress(next.discovery());
    config = next;
  }

  /** Puts the watched source's settings in force, after they have changed. */
  void applyDynamicSettings() {
    requestHandler.applySettings(config.settings(), dynamicSettings);
    longestClientTimeout = Math.max(longestClientTimeout, dynamicSettings.longestClientTimeout());
    applyTimeouts(dynamicSettings.overlay(config.settings())); // the file's, where it names none
  }

  private void applyTimeouts(Settings settings) {
    BackendTimeouts timeouts = BackendTimeouts.of(settings);
    connector.setTimeouts(timeouts.connect(), timeouts.idleClose());
  }

  /**
   * Watches another source or scope of settings, where one is watched.
   *
   * @param subscription the subscription in use, or null
   * @param source the new source, or null
   */
  void resubscribe(SettingsSubscription subscription, InetSocketAddress source, String scope) {
    if (subscription == null || source == null) {
      EventLog.warning(
          "settings' source kept as it was", null, "only a restart begins or ends a watch");
    } else {
      subscription.changeSource(source, scope);
      discovery.changeScope(scope);
    }
  }
}
