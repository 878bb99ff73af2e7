package wheattrack.simulator;

import java.util.Map;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.TimeConversion;
import wheattrack.core.BackendIndex;

/**
 * The record of one backend in an endpoint list. Only the id is read on creation; the other fields
 * are read by their accessors, which throw {@link InvalidConfigurationException} for a value of the
 * wrong type.
 *
 * @param id the backend's id
 * @param fields all fields of the record
 */
record BackendRecord(long id, JsonObjectReader fields) {
  /**
   * Converts a parsed JSON value to a record.
   *
   * @throws InvalidInputException if the value is not an object, or has no backend id
   */
  static BackendRecord of(Object value) throws InvalidInputException {
    if (value instanceof Map<?, ?> map
        && map.get(SimulatorProtocol.BACKEND) instanceof Number number) {
      return new BackendRecord(number.longValue(), reader(map));
    }
    throw new InvalidInputException(
        SimulatorProtocol.RECORDS
            + ": expected objects with a number in field "
            + SimulatorProtocol.BACKEND);
  }

  @SuppressWarnings("unchecked") // the JSON parser makes all keys strings
  private static JsonObjectReader reader(Map<?, ?> map) {
    return new JsonObjectReader((Map<String, Object>) map);
  }

  /** Whether the backend has left the list. */
  boolean isRemoved() {
    return readiness().equals(SimulatorProtocol.READINESS_REMOVED);
  }

  /** Whether the backend accepts new requests. */
  boolean isReady() {
    return readiness().equals(SimulatorProtocol.READINESS_READY);
  }

  private String readiness() {
    return fields.text(SimulatorProtocol.READINESS, SimulatorProtocol.READINESS_READY);
  }

  /** The index of the backend's zone. */
  int zone() {
    return fields.integer(SimulatorProtocol.ZONE, 0);
  }

  /** The number of the backend's cell. */
  int cell() {
    return fields.integer(SimulatorProtocol.CELL, 0);
  }

  /** The index of the backend's kind. */
  int kind() {
    return fields.integer(SimulatorProtocol.BACKEND_KIND, 0);
  }

  /** The backend's advertised capacity, relative to that of others. */
  double weight() {
    return fields.number(SimulatorProtocol.WEIGHT, 1);
  }

  /** When the backend started, in ticks; 0 or less on the wire means an unknown time long ago. */
  long startTime() {
    long startMicros = (long) fields.number(SimulatorProtocol.STARTED_AT, 0);
    return startMicros <= 0 ? BackendIndex.LONG_AGO : TimeConversion.ticksRoundedDown(startMicros);
  }
}
