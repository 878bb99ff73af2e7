package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.LongConsumer;
import wheattrack.aio.EventLoop;
import wheattrack.config.DynamicSettings;
import wheattrack.config.ProxyConfig;
import wheattrack.config.Settings;
import wheattrack.core.RequestCounters;

/**
 * What control costs a proxy, without its clients: the watch on the list, its decoding, the module
 * that is told of it with all its timers, new settings. Many share one loop, and all is done on its
 * thread. It ends with its loop.
 */
public final class ControlOnlyProxy {
  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final ProxyConfig config;
  private final EndpointDiscovery listing;
  private final RequestHandler proxy;

  /**
   * seed: its own chance; inForce: hears of each revision of the list once the module acts on it.
   */
  public ControlOnlyProxy(
      EventLoop loop,
      AsynchronousChannelGroup group,
      ProxyConfig config,
      long seed,
      LongConsumer inForce) {
    this.loop = loop;
    this.group = group;
    this.config = config;
    Settings settings = config.settings();
    Connector dialler =
        new Connector(
            loop,
            group,
            0,
            config.maxBodyBytes(),
            settings.time("limits.dialTimeout", 250_000),
            settings.time("limits.idleClose", 0));
    listing =
        new EndpointDiscovery(
            loop,
            group,
            dialler,
            config.discovery(),
            settings.list("zones"),
            settings.list("kinds"),
            config.cachedEndpoints(),
            "");
    listing.onForce(inForce);
    proxy = new RequestHandler(loop, listing, new RequestCounters(), settings, seed, "");
  }

  /** Watches a source of settings besides; inForce: hears of each revision of those that holds. */
  public void watch(InetSocketAddress source, String scope, long seed, LongConsumer inForce) {
    new SettingsSubscription(
            loop,
            group,
            source,
            scope,
            seed,
            new RequestCounters(),
            new DynamicSettings(),
            feed -> {
              proxy.turnTo(config.settings(), feed);
              inForce.accept(feed.revision());
            })
        .watch();
  }

  /** New settings, as a whole. */
  public void turnTo(ProxyConfig next) {
    proxy.turnTo(next.settings(), null);
    listing.moveTo(next.discovery());
  }

  /** Backends that it knows. */
  public int known() {
    return listing.listed();
  }
}
