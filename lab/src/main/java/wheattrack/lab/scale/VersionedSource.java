package wheattrack.lab.scale;

import java.net.InetSocketAddress;
import java.util.StringJoiner;

/**
 * The content of a source: indexed entries, which it renders as one line of JSON, either all of
 * them (a snapshot) or those that a change concerns. Not thread-safe.
 */
interface VersionedSource {
  /** A line with all entries, under this revision. */
  String snapshot(long revision);

  /**
   * Changes entries and returns a line with them, under this revision.
   *
   * @param first index of the first changed entry
   * @param count how many entries change, wrapping around after the last
   */
  String change(long revision, int first, int count);

  /** A list of backends, all at one address. A change toggles between SERVING and DRAINING. */
  final class Backends implements VersionedSource {
    private static final int FIRST_UID = 0x1000_0000;
    private static final int BACKENDS_PER_POD_GROUP = 4;

    private final String[] entries;
    private final boolean[] isDraining;

    Backends(int count, InetSocketAddress endpoint) {
      entries = new String[count];
      isDraining = new boolean[count];
      for (int i = 0; i < count; i++) {
        entries[i] = entry(i, endpoint);
      }
    }

    private static String entry(int index, InetSocketAddress endpoint) {
      return "{\"uid\":\"s-"
          + Integer.toHexString(FIRST_UID + index)
          + "\",\"endpoint\":\""
          + endpoint.getHostString()
          + ":"
          + endpoint.getPort()
          + "\",\"az\":\""
          + (char) ('a' + index % 2)
          + "\",\"model\":\"m1\",\"pod_group\":"
          + index / BACKENDS_PER_POD_GROUP
          + ",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    @Override
    public String snapshot(long revision) {
      return "{\"rev\":"
          + revision
          + ",\"all\":true,\"targets\":["
          + String.join(",", entries)
          + "]}\n";
    }

    @Override
    public String change(long revision, int first, int count) {
      StringJoiner changed = new StringJoiner(",");
      for (int i = 0; i < count; i++) {
        int index = (first + i) % entries.length;
        isDraining[index] = !isDraining[index];
        entries[index] =
            isDraining[index]
                ? entries[index].replace("SERVING", "DRAINING")
                : entries[index].replace("DRAINING", "SERVING");
        changed.add(entries[index]);
      }
      return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + changed + "]}\n";
    }
  }

  /** Rule sets with ten tenants each. A change toggles a latency objective between two values. */
  final class Scope implements VersionedSource {
    private static final int TENANTS_PER_RULE_SET = 10;
    private static final int TIGHT_OBJECTIVE_MICROS = 600_000;
    private static final int LOOSE_OBJECTIVE_MICROS = 700_000;
    private static final int CLIENT_TIMEOUT_MICROS = 1_200_000;

    private final boolean[] isTight;

    Scope(int ruleSets) {
      isTight = new boolean[ruleSets];
    }

    private String ruleSet(int index) {
      return "{\"name\":\"route-"
          + index
          + "\",\"effect\":\"read_like\",\"group\":\"all\",\"window\":0,"
          + "\"responseTarget\":"
          + (isTight[index] ? TIGHT_OBJECTIVE_MICROS : LOOSE_OBJECTIVE_MICROS)
          + ",\"clientTimeout\":"
          + CLIENT_TIMEOUT_MICROS
          + "}";
    }

    @Override
    public String snapshot(long revision) {
      StringJoiner ruleSets = new StringJoiner(",");
      StringJoiner tenants = new StringJoiner(",");
      for (int i = 0; i < isTight.length; i++) {
        ruleSets.add(ruleSet(i));
        for (int tenant = 0; tenant < TENANTS_PER_RULE_SET; tenant++) {
          tenants.add("{\"name\":\"t-" + i + "-" + tenant + "\",\"quotaPerS\":1}");
        }
      }
      return "{\"rev\":"
          + revision
          + ",\"all\":true,\"ruleSets\":["
          + ruleSets
          + "],\"tenants\":["
          + tenants
          + "]}\n";
    }

    @Override
    public String change(long revision, int first, int count) {
      StringJoiner ruleSets = new StringJoiner(",");
      for (int i = 0; i < count; i++) {
        int index = (first + i) % isTight.length;
        isTight[index] = !isTight[index];
        ruleSets.add(ruleSet(index));
      }
      return "{\"rev\":"
          + revision
          + ",\"after\":"
          + (revision - 1)
          + ",\"all\":false,\"ruleSets\":["
          + ruleSets
          + "]}\n";
    }
  }
}
