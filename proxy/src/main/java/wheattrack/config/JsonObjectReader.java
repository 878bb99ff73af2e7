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
  private static final String NOT_A_NUMBER = "not a number";
  private static final String NOT_AN_OBJECT = "not an object";

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
      throw new InvalidConfigurationException(key(parentPath), NOT_AN_OBJECT);
    }
    return parentObject.get(path.substring(lastDot + 1));
  }

  /** The value if it is of this type, the default if it is missing; any other is a fault. */
  private <T> T get(String path, Class<T> type, T defaultValue, String wrongTypeFault) {
    Object value = any(path);
    if (value == null) {
      return defaultValue;
    }
    if (!type.isInstance(value)) {
      throw new InvalidConfigurationException(key(path), wrongTypeFault);
    }
    return type.cast(value);
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
    return get(path, Number.class, defaultValue, NOT_A_NUMBER).doubleValue();
  }

  /** A number without its fraction; beyond the range of an int, the nearest int. */
  public int integer(String path, int defaultValue) {
    return (int) number(path, defaultValue);
  }

  /** A number without its fraction. */
  public long wholeNumber(String path, long defaultValue) {
    return get(path, Number.class, defaultValue, NOT_A_NUMBER).longValue();
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
      throw new InvalidConfigurationException(key(path), "negative");
    }
    return TimeConversion.ticksRoundedDown((long) micros);
  }

  /** A boolean, false by default. */
  public boolean flag(String path) {
    return get(path, Boolean.class, false, "neither true nor false");
  }

  /** A string. */
  public String text(String path, String defaultValue) {
    return get(path, String.class, defaultValue, "not a text");
  }

  /**
   * A string that must be present.
   *
   * @throws InvalidConfigurationException if it is missing or empty
   */
  public String text(String path) {
    String value = text(path, null);
    if (value == null || value.isEmpty()) {
      throw new InvalidConfigurationException(key(path), "missing");
    }
    return value;
  }

  /** A list, empty by default. */
  public List<?> list(String path) {
    return get(path, List.class, List.of(), "not a list");
  }

  /** A nested object, empty by default. */
  @SuppressWarnings("unchecked")
  public JsonObjectReader section(String path) {
    return new JsonObjectReader(
        (Map<String, Object>) get(path, Map.class, Map.of(), NOT_AN_OBJECT),
        pathPrefix + path + ".");
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
      throw new InvalidConfigurationException(key, NOT_AN_OBJECT);
    }
    return new JsonObjectReader((Map<String, Object>) map, key + ".");
  }
}
