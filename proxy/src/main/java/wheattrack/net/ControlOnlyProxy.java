package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.LongConsumer;
import wheattrack.aio.EventLoop;
import wheattrack.config.DynamicSettings;
import wheattrack.config.ProxyConfig;
import wheattrack.core.RequestCounters;
import wheattrack.net.backend.BackendTimeouts;
import wheattrack.net.backend.Connector;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.request.RequestHandler;
import wheattrack.net.settings.SettingsSubscription;

/**
 * The control plane of a proxy without its clients: the watch on the endpoint list, its parsing,
 * the policy with all its timers, and new settings. It serves to measure what these cost. Many
 * share one event loop; all methods run on its thread only. It ends with its loop.
 */
public final class ControlOnlyProxy {
  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final ProxyConfig config;
  private final EndpointDiscovery discovery;
  private final RequestHandler requestHandler;

  /**
   * A proxy that begins to watch its list at once.
   *
   * @param seed of its own random draws
   * @param revisionListener called with each revision of the list once the policy uses it
   */
  public ControlOnlyProxy(
      EventLoop loop,
      AsynchronousChannelGroup group,
      ProxyConfig config,
      long seed,
      LongConsumer revisionListener) {
    this.loop = loop;
    this.group = group;
    this.config = config;
    BackendTimeouts timeouts = BackendTimeouts.of(config.settings());
    Connector connector =
        new Connector(
            loop, group, 0, config.maxBodyBytes(), timeouts.connect(), timeouts.idleClose());
    discovery = new EndpointDiscovery(loop, group, connector, config, "");
    discovery.setRevisionListener(revisionListener);
    requestHandler =
        new RequestHandler(loop, discovery, new RequestCounters(), config.settings(), seed, "");
  }

  /**
   * Watches a source of settings, too.
   *
   * @param scope the scope asked for; empty: none
   * @param seed of the random part of the pauses
   * @param revisionListener called with each revision of the settings once it is in force
   */
  public void watchSettings(
      InetSocketAddress source, String scope, long seed, LongConsumer revisionListener) {
    SettingsSubscription subscription =
        new SettingsSubscription(
            loop,
            group,
            source,
            scope,
            seed,
            new RequestCounters(),
            new DynamicSettings(),
            settings -> {
              requestHandler.applySettings(config.settings(), settings);
              revisionListener.accept(settings.revision());
            });
    subscription.watch();
  }

  /** Puts a new configuration in force. */
  public void reconfigure(ProxyConfig next) {
    requestHandler.applySettings(next.settings(), null);
    discovery.changeAddress(next.discovery());
  }

  /** Number of listed backends. */
  public int listedBackendCount() {
    return discovery.listedCount();
  }
}
