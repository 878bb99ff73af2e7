package wheattrack.net.discovery;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.SocketAddressParser;
import wheattrack.config.TimeConversion;

/** Parses discovery's events of the endpoint list into typed entries. Immutable. */
final class EndpointListParser {
  /** A hexadecimal number that fits in a non-negative long. */
  private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-f]{1,15}");

  /** The state of an entry that has left the list. */
  private static final String DELETED = "DELETED";

  /**
   * One event of the list.
   *
   * @param entries its entries, one for each backend, not yet parsed, so that an invalid one does
   *     not affect the others
   * @param revision the revision of the list after this event
   * @param isSnapshot whether it is the complete list; otherwise it contains only the changed
   *     entries
   */
  record Event(List<JsonObjectReader> entries, long revision, boolean isSnapshot) {}

  /** One entry of the list, which concerns one backend. */
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
   * @param endpoint its address as text, as in the list
   * @param address its address, parsed
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

  /** States of a listed backend. The names of the constants are used on the wire and in the log. */
  enum State {
    SERVING,
    DRAINING
  }

  private final List<?> zones;
  private final List<?> kinds;

  /** Creates a parser for these names of zones and kinds, in the order of their indexes. */
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
   * @param currentRevision the revision of an event that has no field for it
   * @throws InvalidConfigurationException if a field is of a wrong type
   */
  static Event event(JsonObjectReader event, long currentRevision) {
    List<JsonObjectReader> entries = event.sections("targets");
    long revision = event.wholeNumber("rev", currentRevision);
    return new Event(entries, revision, event.flag("all"));
  }

  /**
   * The id of an entry, of any type, whether or not the rest of the entry can be parsed; null if it
   * has none.
   */
  static Object rawId(JsonObjectReader entry) {
    return entry.any("uid");
  }

  /**
   * Parses an entry.
   *
   * @throws InvalidConfigurationException if a field is missing or of a wrong type, or the state is
   *     unknown
   */
  Entry entry(JsonObjectReader entry) {
    String id = entry.text("uid");
    String stateName = entry.text("state");
    if (stateName.equals(DELETED)) {
      return new Deleted(id);
    }
    State state = state(stateName, id);
    String endpoint = entry.text("endpoint");
    return new Listed(
        id,
        state,
        endpoint,
        SocketAddressParser.parse("endpoint", endpoint),
        (long) (entry.number("boot_ms", 0) * TimeConversion.TICKS_PER_MILLISECOND),
        zones.indexOf(entry.text("az", "")),
        Math.max(0, kinds.indexOf(entry.text("model", ""))),
        entry.integer("pod_group", 0),
        entry.number("capacity_hint", 1));
  }

  private static State state(String name, String id) {
    return switch (name) {
      case "SERVING" -> State.SERVING;
      case "DRAINING" -> State.DRAINING;
      default ->
          throw new InvalidConfigurationException(
              "state", "expected SERVING, DRAINING or DELETED, got " + name + " for uid " + id);
    };
  }

  /**
   * The number of a backend, derived from its id and the same in every proxy. The policy orders
   * backends by it, and log lines identify them by it. It is the hexadecimal number after the id's
   * last hyphen, or a checksum of the id if there is none.
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
