package wheattrack.net.discovery;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.SocketAddressParser;

/** Reads events of the endpoint list, in discovery's form, into typed entries. Stateless. */
final class EndpointListParser {
  private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-f]{1,15}");
  private static final int TENTHS_PER_MILLISECOND = 10;

  /** The state of an entry that has left the list. */
  private static final String DELETED = "DELETED";

  /**
   * One event of the list.
   *
   * @param entries its entries, one for each backend, not yet parsed: an invalid one does not
   *     affect the others
   * @param revision the revision that it leads to
   * @param isSnapshot whether it is the complete list; else it names what has changed
   */
  record Event(List<JsonObjectReader> entries, long revision, boolean isSnapshot) {}

  /** What the list says of one backend. */
  sealed interface Entry {
    /** The backend's id. */
    String id();
  }

  /** A backend that has left the list. */
  record Deleted(String id) implements Entry {}

  /**
   * A backend on the list.
   *
   * @param id its id
   * @param state whether it serves or drains
   * @param endpoint its address as the list writes it
   * @param address the same, parsed
   * @param startedAt when it started, in tenths of a millisecond; 0 or less: unknown
   * @param zone index of its zone; -1: none of the configured ones
   * @param kind index of its kind; 0 also where it is none of the configured ones
   * @param cell number of its cell
   * @param weight its advertised capacity
   */
  record Listed(
      String id,
      State state,
      String endpoint,
      InetSocketAddress address,
      long startedAt,
      int zone,
      int kind,
      int cell,
      double weight)
      implements Entry {}

  /** States of a listed backend; log lines name them as on the wire. */
  enum State {
    SERVING,
    DRAINING
  }

  private final List<?> zones;
  private final List<?> kinds;

  /** A parser for these names of zones and kinds, in the order of their indexes. */
  EndpointListParser(List<?> zones, List<?> kinds) {
    this.zones = zones;
    this.kinds = kinds;
  }

  /** The names of zones, in the order of their indexes. */
  List<?> zones() {
    return zones;
  }

  /**
   * Reads an event, but not its entries.
   *
   * @param currentRevision the revision of an event that names none
   * @throws InvalidConfigurationException if a field is of a wrong kind
   */
  static Event event(JsonObjectReader event, long currentRevision) {
    List<JsonObjectReader> entries = event.sections("targets");
    long revision = event.wholeNumber("rev", currentRevision);
    return new Event(entries, revision, event.flag("all"));
  }

  /**
   * The id of an entry as it stands there, whether or not the rest of the entry can be parsed; null
   * where there is none.
   */
  static Object rawId(JsonObjectReader entry) {
    return entry.any("uid");
  }

  /**
   * Parses an entry.
   *
   * @throws InvalidConfigurationException if a field is missing or of a wrong kind, or the state is
   *     unknown
   */
  Entry entry(JsonObjectReader entry) {
    String id = entry.text("uid");
    String stateName = entry.text("state");
    if (stateName.equals(DELETED)) {
      return new Deleted(id);
    }
    State state = state(stateName);
    String endpoint = entry.text("endpoint");
    return new Listed(
        id,
        state,
        endpoint,
        SocketAddressParser.parse("endpoint", endpoint),
        (long) (entry.number("boot_ms", 0) * TENTHS_PER_MILLISECOND),
        zones.indexOf(entry.text("az", "")),
        Math.max(0, kinds.indexOf(entry.text("model", ""))),
        entry.integer("pod_group", 0),
        entry.number("capacity_hint", 1));
  }

  private static State state(String name) {
    return switch (name) {
      case "SERVING" -> State.SERVING;
      case "DRAINING" -> State.DRAINING;
      default -> throw new InvalidConfigurationException("state", "unknown: " + name);
    };
  }

  /**
   * A number for a backend's id, the same at every proxy; the policy orders backends by it, and log
   * lines name them so. It is the hexadecimal number behind the last hyphen, else a checksum.
   */
  static long backendNumber(String id) {
    String suffix = id.substring(id.lastIndexOf('-') + 1);
    if (HEXADECIMAL.matcher(suffix).matches()) {
      return Long.parseLong(suffix, 16);
    }
    CRC32 checksum = new CRC32();
    checksum.update(id.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
