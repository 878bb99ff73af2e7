package wheattrack.drill;

import java.util.List;
import java.util.Map;
import wheattrack.port.RuleSet;

/** Reads the wire's settings object; times come out in tenths of a millisecond, rounded down. */
final class Settings {
    private final Map<String, Object> all;

    Settings(Map<String, Object> all) {
        this.all = all;
    }

    private Object at(String path) {
        Object here = all;
        for (String part : path.split("\\.")) {
            here = here instanceof Map<?, ?> map ? map.get(part) : null;
        }
        return here;
    }

    double number(String path, double otherwise) {
        return at(path) instanceof Number n ? n.doubleValue() : otherwise;
    }

    int count(String path, int otherwise) {
        return (int) number(path, otherwise);
    }

    long time(String path, long otherwiseMicros) {
        return (long) number(path, otherwiseMicros) / Drill.UNIT;
    }

    boolean flag(String path) {
        return at(path) == Boolean.TRUE;
    }

    String word(String path, String otherwise) {
        return at(path) instanceof String s ? s : otherwise;
    }

    private List<?> list(String path) {
        return at(path) instanceof List<?> l ? l : List.of();
    }

    @SuppressWarnings("unchecked")
    private static Settings of(Object entry) {
        return new Settings(entry instanceof Map<?, ?> ? (Map<String, Object>) entry : Map.of());
    }

    RuleSet[] ruleSets() {
        List<?> sets = list("ruleSets");
        RuleSet[] out = new RuleSet[sets.size()];
        for (int i = 0; i < out.length; i++) {
            Settings s = of(sets.get(i));
            RuleSet.Effect effect = switch (s.word("effect", "")) {
                case "read_like" -> RuleSet.Effect.REPLAYABLE;
                case "idempotency_key" -> RuleSet.Effect.UNIQUED;
                default -> RuleSet.Effect.NON_REPLAYABLE;
            };
            RuleSet.Group group = switch (s.word("group", "")) {
                case "all" -> RuleSet.Group.ALL;
                case "zone" -> RuleSet.Group.ZONE;
                default -> RuleSet.Group.CELL;
            };
            long timeout = s.time("clientTimeout", 1_000_000);
            long target = Math.max(1, Math.min(timeout, s.time("responseTarget", 1_000_000)));
            out[i] = new RuleSet(i, target, timeout, effect, group, s.time("window", 0),
                s.number("value", 1), s.number("overdueValue", 0), s.flag("stream"));
        }
        return out;
    }
}
