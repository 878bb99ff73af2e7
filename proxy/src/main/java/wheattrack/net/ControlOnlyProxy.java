package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.LongConsumer;
import wheattrack.aio.EventLoop;
import wheattrack.config.DynamicSettings;
import wheattrack.config.ProxyConfig;
import wheattrack.core.MemoryBudget;
import wheattrack.core.RequestCounters;
import wheattrack.net.backend.BackendTimeouts;
import wheattrack.net.backend.Connector;
import wheattrack.net.discovery.EndpointDiscovery;
import wheattrack.net.lease.IdLeaseTable;
import wheattrack.net.request.RequestHandler;
import wheattrack.net.settings.SettingsSubscription;

/**
 * The control plane of a proxy without its clients: the watch on the endpoint list, its parsing,
 * the policy with all its timers, and new settings. It is used to measure the cost of these. Many
 * instances share one event loop; all methods run on its thread only. An instance has no shutdown
 * of its own: it ends with its loop.
 */
public final class ControlOnlyProxy {
  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final ProxyConfig config;
  private final EndpointDiscovery discovery;
  private final RequestHandler requestHandler;

  /**
   * Creates a proxy, which starts to watch the endpoint list immediately.
   *
   * @param seed seed of the policy's random numbers
   * @param revisionListener called with each revision of the endpoint list once the policy uses it
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
            loop,
            group,
            0,
            config.maxBodyBytes(),
            MemoryBudget.unlimited(),
            timeouts.connect(),
            timeouts.idleClose());
    discovery = new EndpointDiscovery(loop, group, connector, config, "");
    discovery.setRevisionListener(revisionListener);
    requestHandler =
        new RequestHandler(
            loop,
            discovery,
            new RequestCounters(),
            config.settings(),
            seed,
            "",
            IdLeaseTable.unshared());
  }

  /**
   * Watches a source of settings as well.
   *
   * @param scope the requested scope; empty: none
   * @param seed seed of the random part of the pauses between calls
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

  /** Applies the settings and the discovery address of a new configuration. */
  public void reconfigure(ProxyConfig next) {
    requestHandler.applySettings(next.settings(), null);
    discovery.changeAddress(next.discovery());
  }

  /** Number of listed backends. */
  public int listedBackendCount() {
    return discovery.listedCount();
  }
}
