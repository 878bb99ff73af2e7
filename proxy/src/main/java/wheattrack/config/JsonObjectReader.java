package wheattrack.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Reads the values of one JSON object by type. A value is named by the path of keys to it,
 * separated by dots. A missing value has its default; a value of the wrong type is an {@link
 * InvalidConfigurationException} that names its path. Immutable as long as nobody changes the
 * underlying map.
 */
public sealed class JsonObjectReader permits Settings {
  private static final String A_NUMBER = "a number";
  private static final String AN_OBJECT = "an object";

  private final Map<String, Object> values;

  /** The path of this object in the complete document, with a dot at its end; "" at the root. */
  private final String pathPrefix;

  /** A reader of a document's root object. */
  public JsonObjectReader(Map<String, Object> values) {
    this(values, "");
  }

  /** A reader of the same object as another one. */
  JsonObjectReader(JsonObjectReader original) {
    this(original.values, original.pathPrefix);
  }

  private JsonObjectReader(Map<String, Object> values, String pathPrefix) {
    this.values = values;
    this.pathPrefix = pathPrefix;
  }

  /** The value of any type; null if it is missing or null. */
  public Object any(String path) {
    int lastDot = path.lastIndexOf('.');
    if (lastDot < 0) {
      return values.get(path);
    }
    String parentPath = path.substring(0, lastDot);
    Object parent = any(parentPath);
    if (parent == null) {
      return null;
    }
    if (!(parent instanceof Map<?, ?> parentObject)) {
      throw wrongType(key(parentPath), AN_OBJECT, parent);
    }
    return parentObject.get(path.substring(lastDot + 1));
  }

  /**
   * The value if it is of this type, the default if it is missing.
   *
   * @param typeName the type with its article, for the error
   * @throws InvalidConfigurationException if the value is of another type
   */
  private <T> T get(String path, Class<T> type, T defaultValue, String typeName) {
    Object value = any(path);
    if (value == null) {
      return defaultValue;
    }
    if (!type.isInstance(value)) {
      throw wrongType(key(path), typeName, value);
    }
    return type.cast(value);
  }

  private static InvalidConfigurationException wrongType(
      String key, String expectedType, Object value) {
    return new InvalidConfigurationException(
        key, "expected " + expectedType + ", got " + typeName(value, AN_OBJECT));
  }

  /**
   * The type of a parsed value with its article, for messages.
   *
   * @param mapTypeName what the file format calls a map
   */
  static String typeName(Object value, String mapTypeName) {
    if (value instanceof Map<?, ?>) {
      return mapTypeName;
    }
    if (value instanceof List<?>) {
      return "a list";
    }
    if (value instanceof Number) {
      return "a number";
    }
    if (value instanceof Boolean) {
      return "a boolean";
    }
    return value == null ? "null" : "a string";
  }

  /** The path of a key from the document's root, for messages. */
  String key(String path) {
    return pathPrefix + path;
  }

  /** This object with one nested object replaced; other values are shared, not copied. */
  JsonObjectReader withSection(String sectionKey, Map<String, Object> replacement) {
    Map<String, Object> result = new HashMap<>(values);
    result.put(sectionKey, replacement);
    return new JsonObjectReader(result, pathPrefix);
  }

  /** A copy of this object's values, which the caller may change. */
  Map<String, Object> copyOfValues() {
    return new HashMap<>(values);
  }

  /** The keys of this object. */
  Set<String> keys() {
    return values.keySet();
  }

  /** Whether there is a value other than null. */
  public boolean has(String path) {
    return any(path) != null;
  }

  /** A number. */
  public double number(String path, double defaultValue) {
    return get(path, Number.class, defaultValue, A_NUMBER).doubleValue();
  }

  /** A number without its fraction; beyond the range of an int, the nearest int. */
  public int integer(String path, int defaultValue) {
    return (int) number(path, defaultValue);
  }

  /** A number without its fraction. */
  public long wholeNumber(String path, long defaultValue) {
    return get(path, Number.class, defaultValue, A_NUMBER).longValue();
  }

  /**
   * A time, which the object holds in microseconds.
   *
   * @return the time in ticks, rounded down
   * @throws InvalidConfigurationException if it is negative
   */
  public long time(String path, long defaultMicros) {
    double micros = number(path, defaultMicros);
    if (micros < 0) {
      throw new InvalidConfigurationException(key(path), "expected 0 or more, got " + micros);
    }
    return TimeConversion.ticksRoundedDown((long) micros);
  }

  /** A boolean, false by default. */
  public boolean flag(String path) {
    return get(path, Boolean.class, false, "true or false");
  }

  /** A string. */
  public String text(String path, String defaultValue) {
    return get(path, String.class, defaultValue, "a string");
  }

  /**
   * A string that must be present.
   *
   * @throws InvalidConfigurationException if it is missing or empty
   */
  public String text(String path) {
    String value = text(path, null);
    if (value == null || value.isEmpty()) {
      throw new InvalidConfigurationException(key(path), "missing or empty");
    }
    return value;
  }

  /** A list, empty by default. */
  public List<?> list(String path) {
    return get(path, List.class, List.of(), "a list");
  }

  /** A nested object, empty by default. */
  @SuppressWarnings("unchecked")
  public JsonObjectReader section(String path) {
    return new JsonObjectReader(
        (Map<String, Object>) get(path, Map.class, Map.of(), AN_OBJECT), pathPrefix + path + ".");
  }

  /** A list of objects, empty by default. */
  public List<JsonObjectReader> sections(String path) {
    List<?> list = list(path);
    return IntStream.range(0, list.size())
        .mapToObj(i -> listEntry(list.get(i), pathPrefix + path + "[" + i + "]"))
        .toList();
  }

  @SuppressWarnings("unchecked")
  private static JsonObjectReader listEntry(Object entry, String key) {
    if (!(entry instanceof Map<?, ?> map)) {
      throw wrongType(key, AN_OBJECT, entry);
    }
    return new JsonObjectReader((Map<String, Object>) map, key + ".");
  }
}
