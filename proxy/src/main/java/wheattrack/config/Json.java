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

/** Parses JSON into maps, lists, strings, {@link BigDecimal}s, booleans and null. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /**
   * Parses a text that consists of exactly one JSON object.
   *
   * @throws IOException if the text is not JSON, or anything but one object
   */
  public static Map<String, Object> object(String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      JsonToken firstToken = parser.nextToken();
      if (firstToken != JsonToken.START_OBJECT) {
        throw new IOException(
            "expected a JSON object, got " + (firstToken == null ? "no value" : "another value"));
      }
      Map<String, Object> object = map(parser);
      if (parser.nextToken() != null) {
        throw new IOException("expected the end of the text after the JSON object, got more text");
      }
      return object;
    }
  }

  /** The object whose opening brace is the parser's current token. */
  public static Map<String, Object> map(JsonParser parser) throws IOException {
    Map<String, Object> map = new HashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      map.put(key, value(parser));
    }
    return map;
  }

  /** The array whose opening bracket is the parser's current token. */
  public static List<Object> list(JsonParser parser) throws IOException {
    List<Object> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(value(parser));
    }
    return list;
  }

  /** The value whose first token is the parser's current one. */
  private static Object value(JsonParser parser) throws IOException {
    if (parser.currentToken() == null) {
      throw new IOException("the text ends before the JSON object is complete");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> map(parser);
      case START_ARRAY -> list(parser);
      case VALUE_NULL -> null;
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new BigDecimal(parser.getText());
      default -> parser.getText();
    };
  }
}
