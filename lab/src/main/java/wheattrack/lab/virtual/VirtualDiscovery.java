package wheattrack.lab.virtual;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.scenario.Scenario;

/** The list as the virtual world tells it: each proxy hears after a while of its own, in order. */
final class VirtualDiscovery extends EndpointRegistry {
  private static final long NO_ANSWER = 5_000; // a call on a list that is down

  private final RandomStream draws;
  private final Map<VirtualProxy, Long> lastAt = new LinkedHashMap<>();
  private long busyUntil;

  VirtualDiscovery(VirtualRun world) {
    super(world);
    draws = world.draws("list");
  }

  /** A proxy asks for all changes from now on, and gets the whole list first. */
  void follows(VirtualProxy node) {
    int life = node.life();
    if (down) {
      stage.after(
          NO_ANSWER,
          () -> {
            if (node.life() == life) {
              node.endpointListFailed();
            }
          });
    } else {
      tell(node, null);
    }
  }

  @Override
  protected void tellAll(News news) {
    lastAt.keySet().forEach(node -> tell(node, news));
  }

  @Override
  protected void breakOff() {
    lastAt.keySet().forEach(VirtualProxy::endpointListFailed);
  }

  private void tell(VirtualProxy node, News news) {
    int life = node.life();
    double entries = stage.scenario.roster.entries();
    if (entries > 0 && stage.now() > 0) { // overbooked, it tells one after the other
      double lines = news == null ? all().size() : 1;
      busyUntil = Math.max(stage.now(), busyUntil) + Math.round(lines * Scenario.SECOND / entries);
    }
    long way = Math.round(stage.scenario.roster.delay() * (0.5 + draws.uniform()));
    long at = Math.max(Math.max(stage.now(), busyUntil) + way, lastAt.getOrDefault(node, 0L));
    lastAt.put(node, at);
    stage.after(
        at - stage.now(),
        () -> {
          if (node.life() == life && !down) {
            node.told(news == null ? all() : List.of(news), news == null);
          }
        });
  }
}
