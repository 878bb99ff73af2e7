package wheattrack.net.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.Consumer;
import wheattrack.aio.EventLoop;
import wheattrack.config.DynamicSettings;
import wheattrack.config.DynamicSettings.Verdict;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.JsonObjectReader;
import wheattrack.core.RequestCounters;
import wheattrack.core.TimerQueue;
import wheattrack.log.EventLog;
import wheattrack.net.discovery.WatchConnection;

/**
 * The subscription to a source of settings: keeps one watch open, feeds its events to the dynamic
 * settings, and asks for a complete snapshot where an event does not follow the revision in force.
 * An event that is invalid becomes one log line that names the key and the revision; the settings
 * in force stay. Runs on the event loop's thread only.
 */
public final class SettingsSubscription {
  /** The resource at the source. */
  static final String PATH = "/v1/settings";

  /**
   * Bounds of the pause between two calls, in tenths of a millisecond. A change has to be in force
   * 8 s after its source can be reached again: a silent call takes 3 s, which leaves 3 s for the
   * complete snapshot.
   */
  private static final long SHORTEST_PAUSE = 2_500;

  private static final long LONGEST_PAUSE = 20_000;

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final DynamicSettings dynamicSettings;
  private final Consumer<DynamicSettings> changeListener;
  private final RequestCounters counters;
  private final JitteredBackoff backoff;
  private InetSocketAddress source;
  private String scope;
  private WatchConnection watch;
  private TimerQueue.Timer reopenTimer;
  private boolean needsSnapshot;

  /**
   * A subscription that is not open yet.
   *
   * @param scope the scope asked for; empty: none
   * @param seed of the random part of the pauses
   * @param dynamicSettings where the events are applied
   * @param changeListener called, in the same step, each time that other settings have come into
   *     force
   */
  public SettingsSubscription(
      EventLoop loop,
      AsynchronousChannelGroup group,
      InetSocketAddress source,
      String scope,
      long seed,
      RequestCounters counters,
      DynamicSettings dynamicSettings,
      Consumer<DynamicSettings> changeListener) {
    this.loop = loop;
    this.group = group;
    this.source = source;
    this.scope = scope;
    this.counters = counters;
    this.dynamicSettings = dynamicSettings;
    this.changeListener = changeListener;
    backoff = new JitteredBackoff(SHORTEST_PAUSE, LONGEST_PAUSE, seed);
  }

  /** Opens the watch, at first or after a pause. */
  public void watch() {
    reopenTimer = null;
    try {
      long afterRevision = needsSnapshot ? -1 : dynamicSettings.revision();
      watch =
          WatchConnection.open(
              loop,
              group,
              new WatchConnection.Target(source, PATH, afterRevision, scope),
              WatchConnection.SILENCE_TIMEOUT,
              this::received,
              this::failed);
    } catch (IOException e) {
      failed(e.toString(), false, false);
    }
  }

  /**
   * Watches another source or scope from now on. A complete snapshot of it is asked for; until it
   * arrives, the settings in force stay.
   */
  public void changeSource(InetSocketAddress newSource, String newScope) {
    if (!newSource.equals(source) || !newScope.equals(scope)) {
      source = newSource;
      scope = newScope;
      needsSnapshot = true;
      reopenAfter(0);
    }
  }

  private void failed(String reason, boolean isSilent, boolean wasUseful) {
    EventLog.info("watch on settings", null, source + ": " + reason);
    if (wasUseful) {
      backoff.restart();
    } else {
      backoff.increase();
    }
    reopenAfter(isSilent ? 0 : backoff.nextDelay()); // a silent watch has lasted long enough
  }

  private void reopenAfter(long delay) {
    if (watch != null) {
      watch.close();
    }
    loop.cancel(reopenTimer);
    reopenTimer = loop.schedule(delay, this::watch);
  }

  private void received(String line) {
    long revision = -1;
    try {
      JsonObjectReader event = new JsonObjectReader(Json.object(line));
      revision = event.wholeNumber("rev", -1);
      boolean isGap = needsSnapshot && !event.flag("all");
      if (isGap || dynamicSettings.apply(event) == Verdict.SNAPSHOT_REQUIRED) {
        requestSnapshot(revision);
        return;
      }
      needsSnapshot = false;
      backoff.reset();
      counters.countDynamicSettingsApplied();
      changeListener.accept(dynamicSettings);
    } catch (IOException | InvalidConfigurationException e) {
      counters.countReloadRejected();
      EventLog.warning(
          "settings kept as they were",
          null,
          "revision " + revision + " of " + source + ": " + WatchConnection.firstLine(e));
    }
  }

  private void requestSnapshot(long revision) {
    EventLog.info(
        "settings",
        null,
        "revision "
            + revision
            + " of "
            + source
            + " does not follow "
            + dynamicSettings.revision()
            + ": the whole is asked for");
    needsSnapshot = true;
    backoff.increase();
    reopenAfter(backoff.nextDelay());
  }

  /** Ends the subscription. */
  public void close() {
    loop.cancel(reopenTimer);
    if (watch != null) {
      watch.close();
    }
  }
}
