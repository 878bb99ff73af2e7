package wheattrack.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** JSON as plain maps, lists, texts, numbers and marks. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /** The one object that the text holds. */
  public static Map<String, Object> object(String text) throws IOException {
    try (JsonParser in = FACTORY.createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("not an object");
      }
      Map<String, Object> map = map(in);
      if (in.nextToken() != null) {
        throw new IOException("something follows the object");
      }
      return map;
    }
  }

  /** The object whose opening brace is the parser's present token. */
  public static Map<String, Object> map(JsonParser in) throws IOException {
    Map<String, Object> map = new HashMap<>();
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      in.nextToken();
      map.put(name, any(in));
    }
    return map;
  }

  /** The array whose opening bracket is the parser's present token. */
  public static List<Object> list(JsonParser in) throws IOException {
    List<Object> list = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      list.add(any(in));
    }
    return list;
  }

  private static Object any(JsonParser in) throws IOException {
    if (in.currentToken() == null) {
      throw new IOException("it ends too early");
    }
    return switch (in.currentToken()) {
      case START_OBJECT -> map(in);
      case START_ARRAY -> list(in);
      case VALUE_NULL -> null;
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new BigDecimal(in.getText());
      default -> in.getText();
    };
  }
}
