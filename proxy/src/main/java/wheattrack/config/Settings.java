package wheattrack.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Typed reading of one JSON object by paths of keys, separated by dots. A missing key has its
 * default; a value of the wrong type is an {@link InvalidConfigurationException} that names its
 * key. Times are microseconds in the object and are returned in tenths of a millisecond, rounded
 * down. Immutable as long as the object is not changed by others.
 */
public final class Settings {
  /** Microseconds in a tenth of a millisecond, the project's unit of time. */
  public static final int UNIT = 100;

  /** Field of a load report: the requests that a backend holds. */
  public static final String IN_FLIGHT_FIELD = "rif";

  /** Field of a load report: those of the held requests that wait. */
  public static final String QUEUED_FIELD = "q";

  private static final int MAX_COST = Integer.MAX_VALUE / 4;

  private final Map<String, Object> values;

  /** The path of this object in the whole configuration, with a dot at its end; "" at the root. */
  private final String prefix;

  /** Reads the root object of a configuration. */
  public Settings(Map<String, Object> values) {
    this(values, "");
  }

  private Settings(Map<String, Object> values, String prefix) {
    this.values = values;
    this.prefix = prefix;
  }

  /** The value there, of whatever type; null if there is none. */
  public Object any(String path) {
    Object value = values;
    int start = 0;
    for (int dot = path.indexOf('.'); value != null && dot >= 0; dot = path.indexOf('.', start)) {
      value = ((Map<?, ?>) value).get(path.substring(start, dot));
      if (value != null && !(value instanceof Map<?, ?>)) {
        throw new InvalidConfigurationException(key(path.substring(0, dot)), "not an object");
      }
      start = dot + 1;
    }
    return value == null ? null : ((Map<?, ?>) value).get(path.substring(start));
  }

  private <T> T get(String path, Class<T> type, T defaultValue) {
    Object value = any(path);
    if (value == null) {
      return defaultValue;
    }
    if (!type.isInstance(value)) {
      throw new InvalidConfigurationException(key(path), wrongType(type));
    }
    return type.cast(value);
  }

  private static String wrongType(Class<?> expected) {
    return switch (expected.getSimpleName()) {
      case "Number" -> "not a number";
      case "Boolean" -> "neither true nor false";
      case "String" -> "not a text";
      case "List" -> "not a list";
      default -> "not an object";
    };
  }

  /** The full path of a key from the configuration's root, for messages. */
  String key(String path) {
    return prefix + path;
  }

  /** These settings with some keys of one section replaced; the rest is shared, not copied. */
  Settings with(String sectionKey, Map<String, Object> replacements) {
    Map<String, Object> merged = new HashMap<>(section(sectionKey).values);
    merged.putAll(replacements);
    Map<String, Object> result = new HashMap<>(values);
    result.put(sectionKey, merged);
    return new Settings(result, prefix);
  }

  /** The keys of this object. */
  Set<String> keys() {
    return values.keySet();
  }

  /** Whether there is a value that is not null. */
  public boolean has(String path) {
    return any(path) != null;
  }

  /** A number. */
  public double number(String path, double defaultValue) {
    return get(path, Number.class, defaultValue).doubleValue();
  }

  /** A number without its fraction, limited to the range of an int. */
  public int integer(String path, int defaultValue) {
    return (int) number(path, defaultValue);
  }

  /** A number without its fraction. */
  public long wholeNumber(String path, long defaultValue) {
    return get(path, Number.class, defaultValue).longValue();
  }

  /**
   * A time in tenths of a millisecond, rounded down.
   *
   * @throws InvalidConfigurationException if it is negative
   */
  public long time(String path, long defaultMicros) {
    double micros = number(path, defaultMicros);
    if (micros < 0) {
      throw new InvalidConfigurationException(key(path), "negative");
    }
    return (long) micros / UNIT;
  }

  /**
   * The cost that a hint in microseconds stands for, in tenths of a millisecond, rounded up; 0 for
   * no hint.
   */
  public static int cost(long hintMicros) {
    return (int) Math.min(MAX_COST, (Math.max(0, hintMicros) + UNIT - 1) / UNIT);
  }

  /** A boolean, false by default. */
  public boolean flag(String path) {
    return get(path, Boolean.class, false);
  }

  /** A string. */
  public String text(String path, String defaultValue) {
    return get(path, String.class, defaultValue);
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
    return get(path, List.class, List.of());
  }

  /** A nested object, empty by default. */
  @SuppressWarnings("unchecked")
  public Settings section(String path) {
    return new Settings((Map<String, Object>) get(path, Map.class, Map.of()), prefix + path + ".");
  }

  /** A list of objects, empty by default. */
  public List<Settings> sections(String path) {
    List<?> list = list(path);
    return IntStream.range(0, list.size())
        .mapToObj(i -> listEntry(list.get(i), prefix + path + "[" + i + "]"))
        .toList();
  }

  @SuppressWarnings("unchecked")
  private static Settings listEntry(Object entry, String key) {
    if (!(entry instanceof Map<?, ?> map)) {
      throw new InvalidConfigurationException(key, "not an object");
    }
    return new Settings((Map<String, Object>) map, key + ".");
  }
}
