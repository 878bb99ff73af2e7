package wheattrack.lab.scale;

import java.net.InetSocketAddress;
import java.util.StringJoiner;

/**
 * What a source holds and tells: entries by number, whole or those that changed. For one thread.
 */
interface VersionedSource {
  String whole(long revision);

  /** Changes so many entries, from this one on, and tells them. */
  String change(long revision, int first, int count);

  /** A list of backends, all at one address; a change turns SERVING and DRAINING round. */
  final class Backends implements VersionedSource {
    private final String[] entries;
    private final boolean[] draining;

    Backends(int count, InetSocketAddress endpoint) {
      entries = new String[count];
      draining = new boolean[count];
      for (int i = 0; i < count; i++) {
        entries[i] =
            "{\"uid\":\"s-"
                + Integer.toHexString(0x1000_0000 + i)
                + "\",\"endpoint\":\""
                + endpoint.getHostString()
                + ":"
                + endpoint.getPort()
                + "\",\"az\":\""
                + (char) ('a' + i % 2)
                + "\",\"model\":\"m1\",\"pod_group\":"
                + i / 4
                + ",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}";
      }
    }

    @Override
    public String whole(long revision) {
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
        int k = (first + i) % entries.length;
        draining[k] = !draining[k];
        entries[k] =
            draining[k]
                ? entries[k].replace("SERVING", "DRAINING")
                : entries[k].replace("DRAINING", "SERVING");
        changed.add(entries[k]);
      }
      return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + changed + "]}\n";
    }
  }

  /** Rule sets, each with ten tenants; a change turns a target between two figures. */
  final class Scope implements VersionedSource {
    private final boolean[] tight;

    Scope(int ruleSets) {
      tight = new boolean[ruleSets];
    }

    private String set(int i) {
      return "{\"name\":\"route-"
          + i
          + "\",\"effect\":\"read_like\",\"group\":\"all\",\"window\":0,"
          + "\"responseTarget\":"
          + (tight[i] ? 600_000 : 700_000)
          + ",\"clientTimeout\":1200000}";
    }

    @Override
    public String whole(long revision) {
      StringJoiner sets = new StringJoiner(","), tenants = new StringJoiner(",");
      for (int i = 0; i < tight.length; i++) {
        sets.add(set(i));
        for (int t = 0; t < 10; t++) {
          tenants.add("{\"name\":\"t-" + i + "-" + t + "\",\"quotaPerS\":1}");
        }
      }
      return "{\"rev\":"
          + revision
          + ",\"all\":true,\"ruleSets\":["
          + sets
          + "],\"tenants\":["
          + tenants
          + "]}\n";
    }

    @Override
    public String change(long revision, int first, int count) {
      StringJoiner sets = new StringJoiner(",");
      for (int i = 0; i < count; i++) {
        int k = (first + i) % tight.length;
        tight[k] = !tight[k];
        sets.add(set(k));
      }
      return "{\"rev\":"
          + revision
          + ",\"after\":"
          + (revision - 1)
          + ",\"all\":false,\"ruleSets\":["
          + sets
          + "]}\n";
    }
  }
}
