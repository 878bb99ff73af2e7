package wheattrack.lab.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;
import wheattrack.config.LoadBalancerFactory;
import wheattrack.config.PolicySettingsMapper;
import wheattrack.config.Settings;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.scenario.Scenario;
import wheattrack.api.LoadBalancer;

/**
 * The decision module as a mind, and the baselines it is measured against; these live in the lab
 * alone.
 */
public final class Policies {
  /** Who decides; RULES is the module. */
  public enum Kind {
    RULES,
    RANDOM,
    ROUND_ROBIN,
    LEAST_OUT,
    TWO_CHOICES
  }

  private Policies() {}

  /** The words for policies. */
  public static List<String> words() {
    List<String> out = new ArrayList<>();
    for (Kind p : Kind.values()) {
      out.add(p.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
    return out;
  }

  static Policy.Maker of(Kind policy, Scenario scenario) {
    if (policy == Kind.RULES) {
      return (port, seed, me) -> {
        Settings settings = new Settings(scenario.settings(me));
        return new Module(
            LoadBalancerFactory.create(
                settings, port, seed, PolicySettingsMapper.requestClasses(settings), true));
      };
    }
    return (port, seed, me) -> {
      port.watchEndpoints();
      return new Baseline(
          policy,
          port,
          new RandomStream(seed, "baseline" + me),
          new Settings(scenario.settings(me)).integer("limits.maxDispatches", 1));
    };
  }

  private record Module(LoadBalancer rules) implements Policy {
    @Override
    public void updateBackend(EndpointUpdate update) {
      rules.updateBackend(update);
    }

    @Override
    public void removeBackend(int index) {
      rules.removeBackend(index);
    }

    @Override
    public void endpointListUpdated(boolean cached) {
      rules.endpointListUpdated(cached);
    }

    @Override
    public void endpointListFailed() {
      rules.endpointListFailed(false);
    }

    @Override
    public RequestHandle accept(PendingRequest req) {
      return rules.accept(req);
    }
  }

  /**
   * Picks by a plain rule; sends again what never ran or may run again; keeps rules two and three.
   */
  private static final class Baseline implements Policy {
    private final Kind policy;
    private final PolicyRuntime port;
    private final RandomStream draws;
    private final int most;
    private final List<Integer> ready = new ArrayList<>();
    private int[] out = new int[16];
    private int turn;

    Baseline(Kind policy, PolicyRuntime port, RandomStream draws, int most) {
      this.policy = policy;
      this.port = port;
      this.draws = draws;
      this.most = most;
    }

    @Override
    public void updateBackend(EndpointUpdate update) {
      int index = update.index();
      if (index >= out.length) {
        out = Arrays.copyOf(out, 2 * index);
      }
      ready.remove((Integer) index);
      if (update.ready()) {
        ready.add(index);
      }
    }

    @Override
    public void removeBackend(int index) {
      ready.remove((Integer) index);
    }

    @Override
    public void endpointListUpdated(boolean cached) {
      // nothing is worked out ahead
    }

    @Override
    public void endpointListFailed() {
      port.schedule(Scenario.SECOND, port::watchEndpoints);
    }

    private int pick(int not) {
      int best = -1;
      int n = ready.size();
      for (int i = 0; i < n; i++) {
        int b =
            ready.get(
                switch (policy) {
                  case ROUND_ROBIN -> turn++ % n;
                  case LEAST_OUT -> i;
                  default -> draws.below(n);
                });
        if (b == not && n > 1) {
          continue;
        }
        if (policy == Kind.RANDOM || policy == Kind.ROUND_ROBIN) {
          return b;
        }
        if (best < 0 || out[b] < out[best]) {
          best = b;
        }
        if (policy == Kind.TWO_CHOICES && i >= 1) {
          return best;
        }
      }
      return best;
    }

    @Override
    public RequestHandle accept(PendingRequest req) {
      Course c = new Course(req);
      c.next(-1);
      return c;
    }

    private final class Course implements RequestHandle {
      private final PendingRequest req;
      private int sent;
      private boolean over, mayHaveRun;

      Course(PendingRequest req) {
        this.req = req;
      }

      void next(int not) {
        int b = pick(not);
        if (b < 0 || sent >= most || port.now() >= req.deadline()) {
          over = true;
          if (!mayHaveRun || req.requestClass().idempotency() == Idempotency.IDEMPOTENT) {
            port.reject(req, 0);
          } else {
            port.fail(req);
          }
          return;
        }
        sent++;
        out[b]++;
        port.sendAttempt(req, b, 0, (how, lag, ended) -> result(b, how, ended));
      }

      private void result(int b, AttemptOutcome how, boolean ended) {
        out[b]--;
        mayHaveRun |= !how.neverRan();
        if (over || ended) {
          over = true;
        } else if (req.requestClass().idempotency() != Idempotency.IDEMPOTENT && mayHaveRun) {
          over = true;
          port.fail(req);
        } else {
          next(b);
        }
      }

      @Override
      public void streamingStarted(int attempt) {
        // no stream is played
      }

      @Override
      public void clientDisconnected() {
        over = true;
      }
    }
  }
}
