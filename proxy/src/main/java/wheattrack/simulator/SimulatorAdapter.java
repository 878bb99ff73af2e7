package wheattrack.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Speaks the simulator's wire: reads batches, hands each line to its instance, writes the replies.
 */
public final class SimulatorAdapter {
  /** Input that is not the wire's; the message says what is wrong and where. */
  public static final class BadInput extends IOException {
    private static final long serialVersionUID = 1;

    BadInput(String message) {
      super(message);
    }
  }

  private static final int SHEETS = 16;

  private final JsonParser in;
  private final JsonGenerator out;
  private final MessageFields line = new MessageFields();
  private final Map<Long, SimulatedProxy> doors = new HashMap<>();
  private final List<?>[] sheets = new List<?>[SHEETS];

  public SimulatorAdapter(InputStream in, OutputStream out) throws IOException {
    JsonFactory json = new JsonFactory();
    this.in = json.createParser(in);
    this.out = json.createGenerator(out);
    this.out.setRootValueSeparator(new SerializedString(""));
  }

  /** Runs until the input ends. */
  public void run() throws IOException {
    try {
      while (next("Turn")) {
        batch(line.number("simTime"));
      }
    } catch (BadInput e) {
      throw new BadInput("line " + in.currentLocation().getLineNr() + ": " + e.getMessage());
    } catch (JsonProcessingException e) {
      throw new BadInput(
          "line "
              + e.getLocation().getLineNr()
              + ": malformed JSON: "
              + e.getOriginalMessage().split("\n")[0].replaceAll("[ :]*\\(.*", ""));
    }
    out.flush();
  }

  private void batch(long simTime) throws IOException {
    while (next(null)) {
      String kind = line.text("kind");
      if (kind.equals("End")) {
        out.writeStartObject();
        out.writeStringField("kind", "Yield");
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
        return;
      }
      if (kind.equals("Sheet")) {
        sheets[sheet()] = needed(line.records, "records");
        continue;
      }
      long instance = line.number("proxyId");
      SimulatedProxy door = doors.get(instance);
      if (door == null) {
        doors.put(instance, door = new SimulatedProxy(instance, out));
      }
      door.at(simTime);
      if (kind.equals("PeersKnown")) {
        String mode = line.text("mode");
        door.list(mode, mode.equals("X") ? List.of() : needed(sheets[sheet()], "sheet"));
      } else {
        door.read(kind, line);
      }
    }
    throw new BadInput("the input ends inside a batch");
  }

  private int sheet() throws BadInput {
    long number = line.number("sheet");
    if (number < 0 || number >= SHEETS) {
      throw new BadInput("no such sheet: " + number);
    }
    return (int) number;
  }

  static <T> T needed(T value, String name) throws BadInput {
    if (value == null) {
      throw new BadInput("missing field " + name);
    }
    return value;
  }

  private boolean next(String wanted) throws IOException {
    JsonToken token = in.nextToken();
    if (token == null) {
      return false;
    }
    if (token != JsonToken.START_OBJECT) {
      throw new BadInput("not an object");
    }
    line.read(in);
    String kind = line.text("kind");
    if (wanted != null && !kind.equals(wanted) || wanted == null && kind.equals("Turn")) {
      throw new BadInput("a batch " + (wanted == null ? "is not closed" : "opens with " + kind));
    }
    return true;
  }
}
