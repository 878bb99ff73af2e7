package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.config.Json;

/**
 * The fields of the message last read: scalars in reused slots, so that nothing is built for most
 * lines.
 */
final class MessageFields {
  private static final String[] NAMES = {
    "kind",
    "simTime",
    "proxyId",
    "rid",
    "profile",
    "tenant",
    "targetKey",
    "due",
    "sizeHint",
    "resent",
    "write",
    "leg",
    "backend",
    "status",
    "lag",
    "ended",
    "nonce",
    "seed",
    "mode",
    "rev",
    "sheet",
    "neighbour",
    "contents"
  };
  private static final Map<String, Integer> SLOT = new HashMap<>();

  static {
    for (int i = 0; i < NAMES.length; i++) {
      SLOT.put(NAMES[i], i);
    }
  }

  private final String[] text = new String[NAMES.length];
  private final long[] number = new long[NAMES.length];
  private final boolean[] there = new boolean[NAMES.length];
  Map<String, Object> settings;
  Map<String, Object> feedback;
  List<Object> records;

  /** Reads one object whose opening brace is the parser's present token. */
  void read(JsonParser in) throws IOException {
    Arrays.fill(there, false);
    settings = null;
    feedback = null;
    records = null;
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      Integer slot = SLOT.get(name);
      if (slot != null && value.isScalarValue()) {
        take(in, value, slot);
      } else if (value == JsonToken.START_OBJECT && name.equals("settings")) {
        settings = Json.map(in);
      } else if (value == JsonToken.START_OBJECT && name.equals("feedback")) {
        feedback = Json.map(in);
      } else if (value == JsonToken.START_ARRAY && name.equals("records")) {
        records = Json.list(in);
      } else {
        in.skipChildren();
      }
    }
  }

  private void take(JsonParser in, JsonToken value, int slot) throws IOException {
    there[slot] = value != JsonToken.VALUE_NULL;
    text[slot] = null;
    switch (value) {
      case VALUE_NUMBER_INT ->
          number[slot] =
              in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                  ? in.getBigIntegerValue().longValue()
                  : in.getLongValue();
      case VALUE_NUMBER_FLOAT -> number[slot] = (long) in.getDoubleValue();
      case VALUE_TRUE -> number[slot] = 1;
      case VALUE_FALSE -> number[slot] = 0;
      default -> text[slot] = in.getText();
    }
  }

  boolean has(String name) {
    return there[SLOT.get(name)];
  }

  long number(String name) throws SimulatorAdapter.BadInput {
    int slot = SLOT.get(name);
    if (!there[slot] || text[slot] != null) {
      throw new SimulatorAdapter.BadInput(
          (there[slot] ? "not a number: " : "missing field ") + name);
    }
    return number[slot];
  }

  long number(String name, long otherwise) throws SimulatorAdapter.BadInput {
    return has(name) ? number(name) : otherwise;
  }

  String text(String name) throws SimulatorAdapter.BadInput {
    int slot = SLOT.get(name);
    if (!there[slot] || text[slot] == null) {
      throw new SimulatorAdapter.BadInput((there[slot] ? "not a text: " : "missing field ") + name);
    }
    return text[slot];
  }
}
