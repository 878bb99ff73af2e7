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
 * The subscription to a source of settings: keeps one watch open, applies its events to the dynamic
 * settings, and requests a complete snapshot where an event does not follow the revision in force.
 * An invalid event changes no settings and is logged in one line with the key and the revision.
 * Runs on the event loop's thread only.
 */
public final class SettingsSubscription {
  /** The path of the resource at the source. */
  static final String PATH = "/v1/settings";

  /** Lower bound of the pause between two calls after failures, in tenths of a millisecond. */
  private static final long SHORTEST_PAUSE = 2_500;

  /**
   * Upper bound of the pause between two calls, in tenths of a millisecond. A change has to be in
   * force 8 s after its source can be reached again: a silent call takes 3 s and this pause 2 s,
   * which leaves 3 s for the complete snapshot.
   */
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
   * Creates a subscription that is not open yet.
   *
   * @param scope the requested scope; empty: none
   * @param seed seed of the random part of the pauses
   * @param dynamicSettings the settings to which events are applied
   * @param changeListener called each time an event was applied, before any other work of the event
   *     loop
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

  /** Opens the watch, for the first time or after a pause. */
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
              this::onLine,
              this::onWatchFailed);
    } catch (IOException e) {
      onWatchFailed(e.toString(), false, false);
    }
  }

  /**
   * Watches another source or scope from now on. A complete snapshot of it is requested; until it
   * is received, the settings in force stay.
   */
  public void changeSource(InetSocketAddress newSource, String newScope) {
    if (!newSource.equals(source) || !newScope.equals(scope)) {
      source = newSource;
      scope = newScope;
      needsSnapshot = true;
      reopenAfter(0);
    }
  }

  private void onWatchFailed(String reason, boolean isSilent, boolean deliveredValidLines) {
    EventLog.info("watch on settings", null, source + ": " + reason);
    if (deliveredValidLines) {
      backoff.useShortestPause();
    } else {
      backoff.increase();
    }
    reopenAfter(isSilent ? 0 : backoff.nextDelay()); // a silent watch's timeout was the pause
  }

  private void reopenAfter(long delay) {
    if (watch != null) {
      watch.close();
    }
    loop.cancel(reopenTimer);
    reopenTimer = loop.schedule(delay, this::watch);
  }

  private void onLine(String line) {
    long revision = -1;
    try {
      JsonObjectReader event = new JsonObjectReader(Json.object(line));
      revision = event.wholeNumber("rev", -1);
      boolean lacksSnapshot = needsSnapshot && !event.flag("all");
      if (lacksSnapshot || dynamicSettings.apply(event) == Verdict.SNAPSHOT_REQUIRED) {
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
          "revision " + revision + " of " + source + ": " + WatchConnection.firstLineOfMessage(e));
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
            + ", requesting a complete snapshot");
    needsSnapshot = true;
    backoff.increase();
    reopenAfter(backoff.nextDelay());
  }

  /** Ends the subscription and closes its watch. */
  public void close() {
    loop.cancel(reopenTimer);
    if (watch != null) {
      watch.close();
    }
  }
}
