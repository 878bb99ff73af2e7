package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.Consumer;
import wheattrack.aio.EventLoop;
import wheattrack.config.DynamicSettings;
import wheattrack.config.DynamicSettings.Verdict;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.Settings;
import wheattrack.core.RequestCounters;
import wheattrack.core.TimerQueue;
import wheattrack.log.EventLog;
import wheattrack.statistics.SeededRandom;

/**
 * The watch on a source of settings: keeps one open, feeds what it tells, asks for the whole where
 * that does not follow. What can't be used is one line of the log that names key and revision; what
 * holds goes on.
 */
final class SettingsSubscription {
  static final String PATH = "/v1/settings";

  /**
   * Between two calls, half of it to all of it by chance, doubling while they fail. A change is to
   * be in force 8 s after its source can be reached again: a silent call (3 s) leaves 3 s for the
   * whole.
   */
  private static final long FIRST = 2_500, LONGEST = 20_000;

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final DynamicSettings feed;
  private final Consumer<DynamicSettings> inForce;
  private final RequestCounters counts;
  private final SeededRandom chance;
  private InetSocketAddress source;
  private String scope;
  private WatchConnection watch;
  private TimerQueue.Timer waits;
  private long pause;
  private boolean whole;

  /** inForce: hears each time, in the same step, that other settings hold. */
  SettingsSubscription(
      EventLoop loop,
      AsynchronousChannelGroup group,
      InetSocketAddress source,
      String scope,
      long seed,
      RequestCounters counts,
      DynamicSettings feed,
      Consumer<DynamicSettings> inForce) {
    this.loop = loop;
    this.group = group;
    this.source = source;
    this.scope = scope;
    this.counts = counts;
    this.feed = feed;
    this.inForce = inForce;
    chance = new SeededRandom(seed);
  }

  /** Begins, or goes on after a pause. */
  void watch() {
    waits = null;
    try {
      WatchConnection.Target target =
          new WatchConnection.Target(source, PATH, whole ? -1 : feed.revision(), scope);
      watch =
          WatchConnection.open(
              loop, group, target, WatchConnection.SILENCE, this::told, this::failed);
    } catch (IOException e) {
      failed(e.toString(), false, false);
    }
  }

  /**
   * Another source or scope holds from now on: all of it is asked for, and till it comes the old
   * holds.
   */
  void turnTo(InetSocketAddress other, String otherScope) {
    if (!other.equals(source) || !otherScope.equals(scope)) {
      source = other;
      scope = otherScope;
      whole = true;
      again(0);
    }
  }

  private void failed(String why, boolean silent, boolean spoke) {
    EventLog.info("watch on settings", null, source + ": " + why);
    pause = spoke ? FIRST : Math.min(LONGEST, Math.max(FIRST, 2 * pause));
    again(silent ? 0 : (long) (pause * (1 + chance.draw()) / 2));
  }

  private void again(long after) {
    if (watch != null) {
      watch.close();
    }
    loop.cancel(waits);
    waits = loop.schedule(after, this::watch);
  }

  private void told(String line) {
    long revision = -1;
    try {
      Settings news = new Settings(Json.object(line));
      revision = news.wholeNumber("rev", -1);
      if (whole && !news.flag("all") || feed.apply(news) == Verdict.SNAPSHOT_REQUIRED) {
        EventLog.info(
            "settings",
            null,
            "revision "
                + revision
                + " of "
                + source
                + " does not follow "
                + feed.revision()
                + ": the whole is asked for");
        whole = true;
        pause = Math.min(LONGEST, Math.max(FIRST, 2 * pause));
        again((long) (pause * (1 + chance.draw()) / 2));
        return;
      }
      whole = false;
      pause = 0;
      counts.dynamicSettingsApplied++;
      inForce.accept(feed);
    } catch (IOException | InvalidConfigurationException e) {
      counts.reloadsRejected++;
      String fault = String.valueOf(e.getMessage()).split("\n")[0];
      EventLog.warning(
          "settings kept as they were",
          null,
          "revision " + revision + " of " + source + ": " + fault);
    }
  }

  void close() {
    loop.cancel(waits);
    if (watch != null) {
      watch.close();
    }
  }
}
