package wheattrack.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Strict reading of one table of a TOML file: every key that is read counts as known, and {@link
 * #rejectUnknownKeys} fails if the file has any other. Errors are {@link
 * InvalidConfigurationException} and name file, line and key. Not thread-safe.
 */
public final class ConfigurationReader {
  private final Map<String, Object> values;

  /** The table's path in the file; "" at the root. */
  private final String tablePath;

  private final TomlKeyLocator locator;
  private final Set<String> knownKeys = new HashSet<>();
  private final List<ConfigurationReader> sections = new ArrayList<>();

  private ConfigurationReader(
      Map<String, Object> values, String tablePath, TomlKeyLocator locator) {
    this.values = values;
    this.tablePath = tablePath;
    this.locator = locator;
  }

  /**
   * Reads a file.
   *
   * @throws InvalidConfigurationException if it can't be read or is not TOML
   */
  public static ConfigurationReader read(Path file) {
    try {
      return of(file.toString(), Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigurationException(file.toString(), "no such file");
    } catch (IOException e) {
      throw new InvalidConfigurationException(file.toString(), "unreadable: " + e);
    }
  }

  /**
   * Reads a text.
   *
   * @param fileName stands for the file in errors
   * @throws InvalidConfigurationException if it is not TOML
   */
  public static ConfigurationReader of(String fileName, String text) {
    TomlKeyLocator locator = new TomlKeyLocator(fileName, text);
    try {
      @SuppressWarnings("unchecked")
      Map<String, Object> values = new TomlMapper().readValue(text, Map.class);
      return new ConfigurationReader(values, "", locator);
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      throw new InvalidConfigurationException(
          fileName + ":" + line, "not TOML: " + e.getOriginalMessage().split("\n")[0]);
    }
  }

  /** The error that a key of this table is invalid, for the caller to throw. */
  public InvalidConfigurationException fault(String key, String problem) {
    String path = pathOf(key);
    return new InvalidConfigurationException(
        locator.fileName() + ":" + locator.lineOf(path) + ": " + path, problem);
  }

  private String pathOf(String key) {
    if (tablePath.isEmpty()) {
      return key;
    }
    return key.isEmpty() ? tablePath : tablePath + "." + key;
  }

  /**
   * Sets a key.
   *
   * @param keyPath the key with the tables and list indexes that lead to it, as in {@code
   *     fault[0].size}
   * @param value the value in TOML's syntax
   */
  public void set(String keyPath, String value) {
    Object parsedValue;
    try {
      parsedValue = new TomlMapper().readValue("v = " + value, Map.class).get("v");
    } catch (JacksonException e) {
      throw fault(keyPath, "expected a value in TOML's syntax, got " + value);
    }
    String[] segments = keyPath.replace("[", ".[").split("\\.");
    Object container = values;
    for (int i = 0; i < segments.length; i++) {
      boolean isLast = i == segments.length - 1;
      container = descend(container, segments[i], keyPath, isLast ? parsedValue : null);
    }
  }

  /**
   * Returns the value that one segment of a path names in a container, or puts the new value into
   * the container if it is not null.
   */
  @SuppressWarnings("unchecked")
  private Object descend(Object container, String segment, String keyPath, Object newValue) {
    boolean isIndex = segment.matches("\\[\\d+\\]");
    if (isIndex && container instanceof List<?> list) {
      int index = Integer.parseInt(segment.substring(1, segment.length() - 1));
      if (index < list.size()) {
        return list.get(index);
      }
    } else if (container instanceof Map<?, ?> map && !segment.startsWith("[")) {
      Map<String, Object> table = (Map<String, Object>) map;
      if (newValue != null) {
        table.put(segment, newValue);
        return newValue;
      }
      return table.computeIfAbsent(segment, key -> new LinkedHashMap<>());
    }
    throw fault(
        keyPath,
        "expected a key of a table, or an index of an existing list entry, got " + segment);
  }

  /** Whether the table has this key. Does not mark the key as known. */
  public boolean has(String key) {
    return values.get(key) != null;
  }

  /** All keys of a table whose keys are names chosen in the file; all count as known. */
  public List<String> keys() {
    knownKeys.addAll(values.keySet());
    return List.copyOf(values.keySet());
  }

  /** The value of a key, or null; typeName names the type in the error. */
  private <T> T get(String key, Class<T> type, String typeName) {
    knownKeys.add(key);
    Object value = values.get(key);
    if (value != null && !type.isInstance(value)) {
      throw fault(key, "expected " + typeName + ", got " + typeOf(value));
    }
    return type.cast(value);
  }

  private static String typeOf(Object value) {
    return JsonObjectReader.typeName(value, "a table");
  }

  /** A number from minimum to maximum, both included. */
  public double number(String key, double defaultValue, double minimum, double maximum) {
    Number found = get(key, Number.class, "a number");
    double value = found == null ? defaultValue : found.doubleValue();
    boolean isInRange = value >= minimum && value <= maximum; // false for NaN
    if (!isInRange) {
      throw fault(key, "expected a number from " + minimum + " to " + maximum + ", got " + value);
    }
    return value;
  }

  /** A whole number from minimum to maximum, both included. */
  public int integer(String key, int defaultValue, int minimum, int maximum) {
    double value = number(key, defaultValue, minimum, maximum);
    if (value != Math.rint(value)) {
      throw fault(key, "expected a whole number, got " + value);
    }
    return (int) value;
  }

  /** A boolean. */
  public boolean flag(String key, boolean defaultValue) {
    Boolean found = get(key, Boolean.class, "true or false");
    return found == null ? defaultValue : found;
  }

  /** A string. */
  public String text(String key, String defaultValue) {
    String found = get(key, String.class, "a string");
    return found == null ? defaultValue : found;
  }

  /**
   * A string that must be present.
   *
   * @throws InvalidConfigurationException if it is missing or empty
   */
  public String text(String key) {
    String found = text(key, null);
    if (found == null || found.isEmpty()) {
      throw fault(key, "missing or empty");
    }
    return found;
  }

  /** One of the given words; the first is the default. */
  public String choice(String key, List<String> words) {
    String found = text(key, words.get(0));
    if (!words.contains(found)) {
      throw fault(key, "expected one of " + words + ", got " + OneLineText.quoted(found));
    }
    return found;
  }

  /** A list of numbers, empty by default. */
  public double[] numbers(String key) {
    List<?> found = get(key, List.class, "a list");
    if (found == null) {
      return new double[0];
    }
    double[] numbers = new double[found.size()];
    for (int i = 0; i < numbers.length; i++) {
      if (!(found.get(i) instanceof Number number)) {
        throw fault(
            key, "expected a list of numbers, got " + typeOf(found.get(i)) + " at index " + i);
      }
      numbers[i] = number.doubleValue();
    }
    return numbers;
  }

  /** A nested table, empty by default. */
  @SuppressWarnings("unchecked")
  public ConfigurationReader section(String key) {
    Map<String, Object> found = get(key, Map.class, "a table");
    ConfigurationReader section =
        new ConfigurationReader(found == null ? Map.of() : found, pathOf(key), locator);
    sections.add(section);
    return section;
  }

  /** A list of tables, empty by default. */
  @SuppressWarnings("unchecked")
  public List<ConfigurationReader> sections(String key) {
    List<?> found = get(key, List.class, "a list of tables");
    List<ConfigurationReader> tables = new ArrayList<>();
    if (found == null) {
      return tables;
    }
    for (int i = 0; i < found.size(); i++) {
      if (!(found.get(i) instanceof Map<?, ?> map)) {
        throw fault(
            key, "expected a list of tables, got " + typeOf(found.get(i)) + " at index " + i);
      }
      String path = pathOf(key) + "[" + i + "]";
      tables.add(new ConfigurationReader((Map<String, Object>) map, path, locator));
    }
    sections.addAll(tables);
    return tables;
  }

  /** Fails if this table, or a section that was read from it, has a key that was never read. */
  public void rejectUnknownKeys() {
    for (String key : values.keySet()) {
      if (!knownKeys.contains(key)) {
        throw fault(key, "unknown key");
      }
    }
    sections.forEach(ConfigurationReader::rejectUnknownKeys);
  }
}
