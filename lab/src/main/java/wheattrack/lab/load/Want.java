package wheattrack.lab.load;

import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Set1;

/**
 * What one client wants: of which rule set, how much work it is in tenths of a millisecond at speed 1, the
 * hint it sends in tenths of a millisecond (0 for none) and what it is worth.
 */
public record Want(Set1 set, double work, double hint, double value) {

    /** Draws wants by a scenario's shares; hints may change in the course of a run. */
    public static final class Source {
        private final Scenario scenario;
        private final Draws draws;
        private final double total;
        private double share, noise, scale;

        public Source(Scenario scenario, Draws draws) {
            this.scenario = scenario;
            this.draws = draws;
            total = scenario.sets.stream().mapToDouble(Set1::share).sum();
            share = scenario.hints.share();
            noise = scenario.hints.noise();
            scale = scenario.hints.scale();
        }

        public void share(double next) {
            share = next;
        }

        public void noise(double next) {
            noise = next;
        }

        public void scale(double next) {
            scale = next;
        }

        public Want next() {
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
            double hint = draws.happens(share) ? Math.max(1, work * off * scale) : 0;
            return new Want(set, work, hint, set.rules().value() * work);
        }
    }
}
