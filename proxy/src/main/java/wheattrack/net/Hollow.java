package wheattrack.net;

import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.LongConsumer;
import wheattrack.aio.Loop;
import wheattrack.config.Config;
import wheattrack.config.Settings;
import wheattrack.config.SettingsFeed;
import wheattrack.core.Counts;

/**
 * What control costs a proxy, without its clients: the watch on the list, its decoding, the module
 * that is told of it with all its timers, new settings. Many share one loop, and all is done on its
 * thread. It ends with its loop.
 */
public final class Hollow {
  private final Loop loop;
  private final AsynchronousChannelGroup group;
  private final Config config;
  private final Listing listing;
  private final Proxy proxy;

  /**
   * seed: its own chance; inForce: hears of each revision of the list once the module acts on it.
   */
  public Hollow(
      Loop loop, AsynchronousChannelGroup group, Config config, long seed, LongConsumer inForce) {
    this.loop = loop;
    this.group = group;
    this.config = config;
    Settings settings = config.settings;
    Dialler dialler =
        new Dialler(
            loop,
            group,
            0,
            config.mostBody,
            settings.time("limits.dialTimeout", 250_000),
            settings.time("limits.idleClose", 0));
    listing =
        new Listing(
            loop,
            group,
            dialler,
            config.discovery,
            settings.list("zones"),
            settings.list("kinds"),
            config.known,
            "");
    listing.onForce(inForce);
    proxy = new Proxy(loop, listing, new Counts(), settings, seed, "");
  }

  /** Watches a source of settings besides; inForce: hears of each revision of those that holds. */
  public void watch(InetSocketAddress source, String scope, long seed, LongConsumer inForce) {
    new SettingsWatch(
            loop,
            group,
            source,
            scope,
            seed,
            new Counts(),
            new SettingsFeed(),
            feed -> {
              proxy.turnTo(config.settings, feed);
              inForce.accept(feed.revision());
            })
        .follow();
  }

  /** New settings, as a whole. */
  public void turnTo(Config next) {
    proxy.turnTo(next.settings, null);
    listing.moveTo(next.discovery);
  }

  /** Backends that it knows. */
  public int known() {
    return listing.listed();
  }
}
