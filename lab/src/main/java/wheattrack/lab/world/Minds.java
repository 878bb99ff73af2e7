package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheattrack.Rules;
import wheattrack.config.Settings;
import wheattrack.lab.load.Draws;
import wheattrack.lab.scenario.Scenario;
import wheattrack.port.Outcome;
import wheattrack.port.Port;
import wheattrack.port.Req;
import wheattrack.port.RuleSet.Effect;

/**
 * The decision module as a mind, and the baselines it is measured against; these live in the lab
 * alone.
 */
public final class Minds {
  /** Who decides; RULES is the module. */
  public enum Policy {
    RULES,
    RANDOM,
    ROUND_ROBIN,
    LEAST_OUT,
    TWO_CHOICES
  }

  private Minds() {}

  /** The words for policies. */
  public static List<String> words() {
    List<String> out = new ArrayList<>();
    for (Policy p : Policy.values()) {
      out.add(p.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
    return out;
  }

  static Mind.Maker of(Policy policy, Scenario scenario) {
    if (policy == Policy.RULES) {
      return (port, seed, me) -> {
        Settings settings = new Settings(scenario.settings(me));
        return new Module(settings.rules(port, seed, settings.ruleSets(), true));
      };
    }
    return (port, seed, me) -> {
      port.follow();
      return new Baseline(
          policy,
          port,
          new Draws(seed, "baseline" + me),
          new Settings(scenario.settings(me)).count("limits.maxDispatches", 1));
    };
  }

  private record Module(Rules rules) implements Mind {
    @Override
    public void entry(
        int at,
        long name,
        boolean ready,
        int zone,
        int pack,
        int kind,
        double weight,
        long up,
        boolean fresh) {
      rules.entry(at, name, ready, zone, pack, kind, weight, up, fresh);
    }

    @Override
    public void gone(int at) {
      rules.gone(at);
    }

    @Override
    public void listed(boolean saved) {
      rules.listed(saved);
    }

    @Override
    public void listFailed() {
      rules.listFailed(false);
    }

    @Override
    public Port.Held arrive(Req req) {
      return rules.arrive(req);
    }
  }

  /**
   * Picks by a plain rule; sends again what never ran or may run again; keeps rules two and three.
   */
  private static final class Baseline implements Mind {
    private final Policy policy;
    private final Port port;
    private final Draws draws;
    private final int most;
    private final List<Integer> ready = new ArrayList<>();
    private int[] out = new int[16];
    private int turn;

    Baseline(Policy policy, Port port, Draws draws, int most) {
      this.policy = policy;
      this.port = port;
      this.draws = draws;
      this.most = most;
    }

    @Override
    public void entry(
        int at,
        long name,
        boolean isReady,
        int zone,
        int pack,
        int kind,
        double weight,
        long up,
        boolean fresh) {
      if (at >= out.length) {
        out = java.util.Arrays.copyOf(out, 2 * at);
      }
      ready.remove((Integer) at);
      if (isReady) {
        ready.add(at);
      }
    }

    @Override
    public void gone(int at) {
      ready.remove((Integer) at);
    }

    @Override
    public void listed(boolean saved) {
      // nothing is worked out ahead
    }

    @Override
    public void listFailed() {
      port.later(Scenario.SECOND, port::follow);
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
        if (policy == Policy.RANDOM || policy == Policy.ROUND_ROBIN) {
          return b;
        }
        if (best < 0 || out[b] < out[best]) {
          best = b;
        }
        if (policy == Policy.TWO_CHOICES && i >= 1) {
          return best;
        }
      }
      return best;
    }

    @Override
    public Port.Held arrive(Req req) {
      Course c = new Course(req);
      c.next(-1);
      return c;
    }

    private final class Course implements Port.Held {
      private final Req req;
      private int sent;
      private boolean over, mayHaveRun;

      Course(Req req) {
        this.req = req;
      }

      void next(int not) {
        int b = pick(not);
        if (b < 0 || sent >= most || port.now() >= req.due) {
          over = true;
          if (!mayHaveRun || req.ruleSet.effect() == Effect.REPLAYABLE) {
            port.deny(req, 0);
          } else {
            port.abort(req);
          }
          return;
        }
        sent++;
        out[b]++;
        port.dispatch(req, b, 0, (how, lag, ended) -> result(b, how, ended));
      }

      private void result(int b, Outcome how, boolean ended) {
        out[b]--;
        mayHaveRun |= !how.neverRan;
        if (over || ended) {
          over = true;
        } else if (req.ruleSet.effect() != Effect.REPLAYABLE && mayHaveRun) {
          over = true;
          port.abort(req);
        } else {
          next(b);
        }
      }

      @Override
      public void streams(int leg) {
        // no stream is played
      }

      @Override
      public void left() {
        over = true;
      }
    }
  }
}
