package wheattrack.lab.load;

import java.util.Arrays;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Set1;

/**
 * What one client wants: of which rule set, how much work it is in tenths of a millisecond at speed
 * 1, the hint it sends in tenths of a millisecond (0 for none) and what it is worth.
 */
public record RequestPlan(Set1 set, double work, double hint, double value) {

  /** Draws wants by a scenario's shares; hints may change in the course of a run. */
  public static final class Source {
    /** What a hint says of the work: roughly it, always the same, nothing, the contrary. */
    public enum Sense {
      ROUGH,
      CONSTANT,
      RANDOM,
      INVERTED
    }

    private final Scenario scenario;
    private final RandomStream draws;
    private final double total;
    private final double[] share;
    private double noise, scale, constant, once, mixed;
    private Sense sense = Sense.ROUGH;

    public Source(Scenario scenario, RandomStream draws) {
      this.scenario = scenario;
      this.draws = draws;
      total = scenario.sets.stream().mapToDouble(Set1::share).sum();
      share = new double[scenario.sets.size()];
      Arrays.fill(share, scenario.hints.share());
      noise = scenario.hints.noise();
      scale = scenario.hints.scale();
    }

    /** Of this rule set, or of all where it is below 0. */
    public void share(int set, double next) {
      for (int i = 0; i < share.length; i++) {
        share[i] = set < 0 || set == i ? next : share[i];
      }
    }

    public void noise(double next) {
      noise = next;
    }

    public void scale(double next) {
      scale = next;
    }

    /** size: what constant hints say, in tenths of a millisecond. */
    public void sense(Sense next, double size) {
      sense = next;
      constant = size;
    }

    /** This share of the clients says a thousand times what the others say. */
    public void mixed(double share) {
      mixed = share;
    }

    /** The next hint says this, in tenths of a millisecond. */
    public void once(double hint) {
      once = hint;
    }

    public RequestPlan next() {
      double at = draws.uniform() * total;
      Set1 set = scenario.sets.get(scenario.sets.size() - 1);
      for (Set1 s : scenario.sets) {
        at -= s.share();
        if (at < 0) {
          set = s;
          break;
        }
      }
      double work = Math.max(1, draws.spread(set.work(), set.cv(), set.heavyTail()));
      double off = draws.factor(noise);
      double any = set.work() * Math.exp(4 * draws.uniform() - 2);
      double says =
          switch (sense) {
            case ROUGH -> work * off;
            case CONSTANT -> constant;
            case RANDOM -> any;
            case INVERTED -> set.work() * set.work() / work * off;
          };
      double hint = draws.happens(share[set.rules().index()]) ? Math.max(1, says * scale) : 0;
      hint *= draws.happens(mixed) ? 1000 : 1;
      if (once > 0) {
        hint = once;
        once = 0;
      }
      return new RequestPlan(set, work, hint, set.rules().priorityWeight() * work);
    }
  }
}
