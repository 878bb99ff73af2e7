package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.Consumer;
import wheattrack.aio.Loop;
import wheattrack.config.BadConfig;
import wheattrack.config.Json;
import wheattrack.config.Settings;
import wheattrack.config.SettingsFeed;
import wheattrack.config.SettingsFeed.Verdict;
import wheattrack.core.Counts;
import wheattrack.core.Deadlines;
import wheattrack.figures.Chance;
import wheattrack.log.Event;

/**
 * The watch on a source of settings: keeps one open, feeds what it tells, asks for the whole where
 * that does not follow. What can't be used is one line of the log that names key and revision; what
 * holds goes on.
 */
final class SettingsWatch {
  static final String PATH = "/v1/settings";

  /**
   * Between two calls, half of it to all of it by chance, doubling while they fail. A change is to
   * be in force 8 s after its source can be reached again: a silent call (3 s) leaves 3 s for the
   * whole.
   */
  private static final long FIRST = 2_500, LONGEST = 20_000;

  private final Loop loop;
  private final AsynchronousChannelGroup group;
  private final SettingsFeed feed;
  private final Consumer<SettingsFeed> inForce;
  private final Counts counts;
  private final Chance chance;
  private InetSocketAddress source;
  private String scope;
  private Watch watch;
  private Deadlines.Entry waits;
  private long pause;
  private boolean whole;

  /** inForce: hears each time, in the same step, that other settings hold. */
  SettingsWatch(
      Loop loop,
      AsynchronousChannelGroup group,
      InetSocketAddress source,
      String scope,
      long seed,
      Counts counts,
      SettingsFeed feed,
      Consumer<SettingsFeed> inForce) {
    this.loop = loop;
    this.group = group;
    this.source = source;
    this.scope = scope;
    this.counts = counts;
    this.feed = feed;
    this.inForce = inForce;
    chance = new Chance(seed);
  }

  /** Begins, or goes on after a pause. */
  void follow() {
    waits = null;
    try {
      Watch.Target target = new Watch.Target(source, PATH, whole ? -1 : feed.revision(), scope);
      watch = Watch.open(loop, group, target, Watch.SILENCE, this::told, this::failed);
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
    Event.info("watch on settings", null, source + ": " + why);
    pause = spoke ? FIRST : Math.min(LONGEST, Math.max(FIRST, 2 * pause));
    again(silent ? 0 : (long) (pause * (1 + chance.draw()) / 2));
  }

  private void again(long after) {
    if (watch != null) {
      watch.close();
    }
    loop.cancel(waits);
    waits = loop.after(after, this::follow);
  }

  private void told(String line) {
    long revision = -1;
    try {
      Settings news = new Settings(Json.object(line));
      revision = news.whole("rev", -1);
      if (whole && !news.flag("all") || feed.take(news) == Verdict.WHOLE_WANTED) {
        Event.info(
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
      counts.told++;
      inForce.accept(feed);
    } catch (IOException | BadConfig e) {
      counts.turnedDown++;
      String fault = String.valueOf(e.getMessage()).split("\n")[0];
      Event.warning(
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
