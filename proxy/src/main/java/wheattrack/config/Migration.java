package wheattrack.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a configuration of a bank of proxies becomes where each client process has a proxy of its
 * own. No I/O. Errors are {@link InvalidConfigurationException} and name the key or the option.
 * Times stay as the file has them.
 */
final class Migration {
  /** What the old file can't know; null where nobody said. */
  record Told(Integer balancers, Integer me, String reports, String place, String listen) {}

  private static final Set<String> ROOT =
      Set.of(
          "name",
          "listen",
          "discovery",
          "admin",
          "seed",
          "limits",
          "known",
          "drain_ms",
          "settings",
          "shape");
  private static final Set<String> LIMITS = Set.of("cores", "memory_mb", "sockets", "body_mb");
  private static final Set<String> SETTINGS =
      Set.of(
          "balancers",
          "callers",
          "discovery",
          "domainType",
          "excessValue",
          "goal",
          "kinds",
          "layers",
          "limits",
          "me",
          "prices",
          "report",
          "ruleSets",
          "rules",
          "specifics",
          "tenants",
          "tick",
          "tier",
          "valueBasis",
          "weightKind",
          "zone",
          "zones");

  /** Keys that asked for what is done no more, and why they are left out. */
  private static final Map<String, String> NO_MORE =
      new TreeMap<>(
          Map.of(
              "rules.goneIsAdvice", "what the list drops is gone now",
              "rules.extraFloor", "further dispatches are held to no budget now",
              "rules.resendRatio", "further dispatches are held to no budget now",
              "rules.budgetSpan", "further dispatches are held to no budget now",
              "goal.punctual", "late answers are not counted by their share now",
              "goal.tailMiss", "late answers are not counted by their share now",
              "goal.logLossPart", "late answers are not counted by nines now",
              "goal.fullAtNines", "late answers are not counted by nines now"));

  final Map<String, Object> result;

  /** One line each: the key, and why it is left to the operator. */
  final List<String> left = new ArrayList<>();

  private final Map<String, Object> settings;

  Migration(Map<String, Object> old, Told told) {
    known(old, ROOT, "");
    result = copy(old);
    known(map(result, "limits"), LIMITS, "limits.");
    settings = map(result, "settings");
    known(settings, SETTINGS, "settings.");
    result.put("shape", DeploymentShape.PER_CLIENT);
    drop(result, "", "seed", "each proxy draws its own at its start");
    drop(result, "", "known", "it is the list of the old servers");
    NO_MORE.forEach(
        (key, why) -> {
          int dot = key.indexOf('.');
          drop(
              map(settings, key.substring(0, dot)),
              "settings." + key.substring(0, dot + 1),
              key.substring(dot + 1),
              why);
        });
    who(told);
    reports(told.reports);
    if (told.place != null) {
      place(told.place);
    }
    if (told.listen == null) {
      left.add("listen: as it was, name the address beside this proxy's client by --listen");
    } else {
      result.put("listen", told.listen);
    }
    if (new Settings(result).list("settings.tenants").isEmpty()) {
      left.add("settings.tenants: no quotaPerS is known, a proxy's part of it can't be told");
    }
    new ProxyConfig(result);
  }

  /** Whether the file is of the new shape already. */
  static boolean isNew(Map<String, Object> old) {
    return DeploymentShape.PER_CLIENT.equals(old.get("shape"));
  }

  private void who(Told told) {
    if (told.balancers == null) {
      left.add("settings.balancers: as it was, say how many proxies there are by --balancers");
    } else {
      settings.put("balancers", told.balancers);
    }
    if (told.me == null) {
      left.add("settings.me: as it was, say which of them this is by --me");
    } else {
      settings.put("me", told.me);
    }
    Settings s = new Settings(settings);
    int balancers = s.integer("balancers", 1), me = s.integer("me", 0);
    if (balancers < 1 || me < 0 || me >= balancers) {
      throw new InvalidConfigurationException(
          told.me == null ? "--balancers" : "--me",
          me + " of " + balancers + " proxies contradicts settings.balancers and settings.me");
    }
  }

  private void reports(String how) {
    if (how == null) {
      if (!settings.containsKey("report")) {
        left.add("settings.report: none known, say how backends report their load by --reports");
      }
      return;
    }
    Settings old = new Settings(settings);
    boolean probe = how.equals("probe");
    if (probe && old.has("limits.probing") && !old.flag("limits.probing")) {
      throw new InvalidConfigurationException(
          "--reports", "probe contradicts settings.limits.probing, which is false");
    }
    Map<String, Object> report = made(settings, "report");
    if (new Settings(result).list("settings.report.fields").isEmpty()) {
      report.put(
          "fields",
          how.equals("none")
              ? List.of()
              : List.of(Settings.IN_FLIGHT_FIELD, Settings.QUEUED_FIELD));
    }
    report.put("how", how);
    if (probe) {
      made(settings, "limits").put("probing", true);
    }
    if (how.equals("answers")) {
      left.add("settings.report: name the answers' header in the operators' file, answers-header");
    }
  }

  private void place(String place) {
    List<?> zones = new Settings(result).list("settings.zones");
    if (!zones.isEmpty() && !zones.contains(place)) {
      throw new InvalidConfigurationException(
          "--place", "'" + place + "' contradicts settings.zones, " + zones);
    }
    settings.put("zones", List.of(place));
    settings.put("zone", 0);
    drop(
        map(settings, "prices"),
        "settings.prices.",
        "crossZone",
        "nothing is crossed in one place");
    List<Settings> sets = new Settings(settings).sections("ruleSets");
    for (int i = 0; i < sets.size(); i++) {
      if (sets.get(i).text("group", "all").equals("zone")) {
        left.add(
            "settings.ruleSets["
                + i
                + "].group: zone is all of the one place, see if that is meant");
      }
    }
  }

  private void drop(Map<String, Object> from, String where, String key, String why) {
    if (from.remove(key) != null) {
      left.add(where + key + ": left out, " + why);
    }
  }

  private static void known(Map<String, Object> map, Set<String> keys, String where) {
    for (String key : map.keySet()) {
      if (!keys.contains(key)) {
        throw new InvalidConfigurationException(where + key, "unknown key");
      }
    }
  }

  /** The object there to read or take from, an empty one where it is missing. */
  @SuppressWarnings("unchecked")
  private static Map<String, Object> map(Map<String, Object> in, String key) {
    Object found = in.get(key);
    if (found != null && !(found instanceof Map<?, ?>)) {
      throw new InvalidConfigurationException(key, "not an object");
    }
    return found == null ? new LinkedHashMap<>() : (Map<String, Object>) found;
  }

  /** The object there to put into, made where it is missing. */
  private static Map<String, Object> made(Map<String, Object> in, String key) {
    Map<String, Object> made = map(in, key);
    in.put(key, made);
    return made;
  }

  /** Maps copied through and through, their keys in order. */
  @SuppressWarnings("unchecked")
  private static Map<String, Object> copy(Map<String, Object> old) {
    Map<String, Object> out = new TreeMap<>();
    old.forEach(
        (key, value) ->
            out.put(
                key, value instanceof Map<?, ?> inner ? copy((Map<String, Object>) inner) : value));
    return out;
  }
}
