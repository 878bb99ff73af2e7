package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.JsonObjectReader;
import wheattrack.config.LoadReport;
import wheattrack.config.Settings;
import wheattrack.simulator.SimulatorProtocol.Field;

/**
 * The fields of the event that was read last. Scalar values are kept in arrays that are reused for
 * each event, so that most events allocate nothing. Not thread-safe.
 */
final class EventFields {
  private static final int FIELD_COUNT = Field.values().length;

  private final String[] texts = new String[FIELD_COUNT];
  private final long[] numbers = new long[FIELD_COUNT];
  private final boolean[] present = new boolean[FIELD_COUNT];
  private Map<String, Object> settings;
  private Map<String, Object> loadReport;
  private List<Object> records;

  /** Reads one object whose opening brace is the parser's current token. */
  void read(JsonParser parser) throws IOException {
    Arrays.fill(present, false);
    settings = null;
    loadReport = null;
    records = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken value = parser.nextToken();
      Field field = Field.of(name);
      if (field != null && value.isScalarValue()) {
        readScalar(parser, value, field.ordinal());
      } else if (value == JsonToken.START_OBJECT && name.equals(SimulatorProtocol.SETTINGS)) {
        settings = Json.map(parser);
      } else if (value == JsonToken.START_OBJECT && name.equals(SimulatorProtocol.LOAD_REPORT)) {
        loadReport = Json.map(parser);
      } else if (value == JsonToken.START_ARRAY && name.equals(SimulatorProtocol.RECORDS)) {
        records = Json.list(parser);
      } else {
        parser.skipChildren();
      }
    }
  }

  private void readScalar(JsonParser parser, JsonToken value, int slot) throws IOException {
    present[slot] = value != JsonToken.VALUE_NULL;
    texts[slot] = null;
    switch (value) {
      case VALUE_NUMBER_INT -> numbers[slot] = readInteger(parser);
      case VALUE_NUMBER_FLOAT -> numbers[slot] = (long) parser.getDoubleValue();
      case VALUE_TRUE -> numbers[slot] = 1;
      case VALUE_FALSE -> numbers[slot] = 0;
      default -> texts[slot] = parser.getText();
    }
  }

  /**
   * Reads an integer; one outside the range of a long, as an unsigned seed, keeps its low 64 bits.
   */
  private static long readInteger(JsonParser parser) throws IOException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      return parser.getBigIntegerValue().longValue();
    }
    return parser.getLongValue();
  }

  /** Whether the event has this field, with a value other than null. */
  boolean has(Field field) {
    return present[field.ordinal()];
  }

  /**
   * The number in this field; true counts as 1, false as 0.
   *
   * @throws InvalidInputException if it is missing or not a number
   */
  long number(Field field) throws InvalidInputException {
    int slot = field.ordinal();
    if (!present[slot]) {
      throw missing(field.wireName());
    }
    if (texts[slot] != null) {
      throw new InvalidInputException(field.wireName() + ": expected a number, got a text");
    }
    return numbers[slot];
  }

  /**
   * The number in this field, or a default if it is missing.
   *
   * @throws InvalidInputException if it is not a number
   */
  long number(Field field, long defaultValue) throws InvalidInputException {
    return has(field) ? number(field) : defaultValue;
  }

  /**
   * The flag in this field; a missing one is false.
   *
   * @throws InvalidInputException if it is neither a flag nor a number
   */
  boolean flag(Field field) throws InvalidInputException {
    return number(field, 0) != 0;
  }

  /**
   * The text in this field.
   *
   * @throws InvalidInputException if it is missing or not a text
   */
  String text(Field field) throws InvalidInputException {
    int slot = field.ordinal();
    if (!present[slot]) {
      throw missing(field.wireName());
    }
    if (texts[slot] == null) {
      throw new InvalidInputException(
          field.wireName() + ": expected a text, got a number or a flag");
    }
    return texts[slot];
  }

  /**
   * The settings of the event.
   *
   * @throws InvalidInputException if it has none
   */
  Settings settings() throws InvalidInputException {
    if (settings == null) {
      throw missing(SimulatorProtocol.SETTINGS);
    }
    return new Settings(settings);
  }

  /**
   * The backend records of the event.
   *
   * @throws InvalidInputException if it has none
   */
  List<Object> records() throws InvalidInputException {
    if (records == null) {
      throw missing(SimulatorProtocol.RECORDS);
    }
    return records;
  }

  /** Whether a load report came with the event. */
  boolean hasLoadReport() {
    return loadReport != null;
  }

  /**
   * The load report that came with the event, which must have one.
   *
   * @throws InvalidConfigurationException if a field of the report is not a number
   */
  LoadReport loadReport() {
    return LoadReport.of(new JsonObjectReader(loadReport));
  }

  /** Returns the error for a required field that an event does not have. */
  static InvalidInputException missing(String wireName) {
    return new InvalidInputException("missing field " + wireName);
  }
}
