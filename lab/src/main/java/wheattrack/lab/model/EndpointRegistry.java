package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.core.BackendIndex;
import wheattrack.lab.referee.LedgerRecord.State;

/**
 * The list, on either clock: late, and at times down, stale or empty. How it tells is the clock's.
 */
public abstract class EndpointRegistry {
  /** One entry as told. */
  public record News(int server, State state, long start) {}

  /** When a server started of which only "long ago" is told. */
  public static final long LONG_AGO = BackendIndex.LONG_AGO;

  protected final RunEnvironment stage;
  private final Map<Integer, News> truth = new LinkedHashMap<>();
  protected boolean down, stale, empty;
  private List<News> before = List.of();

  protected EndpointRegistry(RunEnvironment stage) {
    this.stage = stage;
    stage.machines().forEach(m -> truth.put(m.place, new News(m.place, State.READY, LONG_AGO)));
  }

  /** The whole list as it would be told now. */
  protected final List<News> all() {
    return empty ? List.of() : stale ? before : new ArrayList<>(truth.values());
  }

  /** Tells all that follow, of one change or with null of the whole list. */
  protected abstract void tellAll(News news);

  /** The list is down: who follows loses it. */
  protected abstract void breakOff();

  /** The list learns of it. */
  public void changes(int server, State state, long start) {
    News news = new News(server, state, start);
    if (state == State.GONE) {
      truth.remove(server);
    } else {
      truth.put(server, news);
    }
    if (!down && !stale && !empty) {
      tellAll(news);
    }
  }

  /** While it is down nothing is told; what it missed to say comes as a whole list after. */
  public final void down(boolean is) {
    down = is;
    if (is) {
      breakOff();
    }
  }

  /** While it is stale what it tells is what it knew before. */
  public final void stale(boolean is) {
    stale = is;
    before = new ArrayList<>(truth.values());
    if (!is && !down) {
      tellAll(null);
    }
  }

  public final void empty(boolean is) {
    empty = is;
    if (!down) {
      tellAll(null);
    }
  }

  /** A process died: noticed after a while, unless it is back by then. */
  public void noticesDeath(SimulatedBackend machine) {
    int epoch = machine.epoch() + 1;
    stage.after(
        stage.scenario.roster.notice(),
        () -> {
          if (machine.epoch() == epoch && machine.state() != SimulatedBackend.State.UP) {
            changes(machine.place, State.GONE, 0);
          }
        });
  }
}
