package wheattrack.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One table of a TOML file, read strictly: each key asked for is known, {@link #done} ends with an
 * error at any other. Errors are {@link InvalidConfigurationException} and name file, line and key.
 * Not for use by several threads.
 */
public final class ConfigurationReader {
  private static final String SEGMENT = "\\s*(\"[^\"]*\"|[A-Za-z0-9_-]+)\\s*";

  /** Where the keys of one file stand. */
  private record Source(String file, List<String> lines) {
    /** The line, from 1, on which this key stands, or the nearest that holds it. */
    int line(String path) {
      for (String wanted = path;
          !wanted.isEmpty();
          wanted = wanted.contains(".") ? wanted.substring(0, wanted.lastIndexOf('.')) : "") {
        int at = exactly(wanted);
        if (at > 0) {
          return at;
        }
      }
      return 1;
    }

    private int exactly(String path) {
      Map<String, Integer> seen = new java.util.HashMap<>();
      String table = "";
      for (int i = 0; i < lines.size(); i++) {
        String line = lines.get(i).strip();
        if (line.startsWith("[[")) {
          String name = plain(line.substring(2, Math.max(2, line.indexOf(']'))));
          table = name + "[" + (seen.merge(name, 1, Integer::sum) - 1) + "]";
        } else if (line.startsWith("[")) {
          table = plain(line.substring(1, Math.max(1, line.indexOf(']'))));
        } else if (!line.startsWith("#") && line.indexOf('=') > 0) {
          String key = plain(line.substring(0, line.indexOf('=')));
          if (path.equals(table.isEmpty() ? key : table + "." + key)) {
            return i + 1;
          }
          continue;
        }
        if (path.equals(table)) {
          return i + 1;
        }
      }
      return 0;
    }

    private static String plain(String key) {
      return key.replaceAll(SEGMENT, "$1").replace("\"", "");
    }
  }

  private final Map<String, Object> all;
  private final String path;
  private final Source source;
  private final Set<String> known = new HashSet<>();
  private final List<ConfigurationReader> inner = new ArrayList<>();

  private ConfigurationReader(Map<String, Object> all, String path, Source source) {
    this.all = all;
    this.path = path;
    this.source = source;
  }

  /** Reads a whole file. */
  public static ConfigurationReader read(Path file) {
    try {
      return of(file.toString(), Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigurationException(file.toString(), "no such file");
    } catch (IOException e) {
      throw new InvalidConfigurationException(file.toString(), "unreadable: " + e);
    }
  }

  /** Reads a text; name stands for the file in errors. */
  public static ConfigurationReader of(String name, String text) {
    Source source = new Source(name, Arrays.asList(text.split("\r?\n", -1)));
    try {
      @SuppressWarnings("unchecked")
      Map<String, Object> all = new TomlMapper().readValue(text, Map.class);
      return new ConfigurationReader(all, "", source);
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      throw new InvalidConfigurationException(
          name + ":" + line, "not TOML: " + e.getOriginalMessage().split("\n")[0]);
    }
  }

  /** The error that this key is at fault, to be thrown by who finds out. */
  public InvalidConfigurationException fault(String key, String what) {
    String whole = whole(key);
    return new InvalidConfigurationException(
        source.file + ":" + source.line(whole) + ": " + whole, what);
  }

  private String whole(String key) {
    return path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
  }

  /**
   * Sets a key, by its path of tables and list places (as in fault[0].size), to a value as TOML has
   * it.
   */
  public void set(String keyPath, String value) {
    Object parsed;
    try {
      parsed = new TomlMapper().readValue("v = " + value, Map.class).get("v");
    } catch (JacksonException e) {
      throw fault(keyPath, "can't be set to " + value);
    }
    Object here = all;
    String[] parts = keyPath.replace("[", ".[").split("\\.");
    for (int i = 0; i < parts.length; i++) {
      here = step(here, parts[i], keyPath, i == parts.length - 1 ? parsed : null);
    }
  }

  @SuppressWarnings("unchecked")
  private Object step(Object here, String part, String keyPath, Object last) {
    if (part.matches("\\[\\d+\\]") && here instanceof List<?> list) {
      int i = Integer.parseInt(part.substring(1, part.length() - 1));
      if (i < list.size()) {
        return list.get(i);
      }
    } else if (here instanceof Map<?, ?> map && !part.startsWith("[")) {
      if (last != null) {
        ((Map<String, Object>) map).put(part, last);
        return last;
      }
      return ((Map<String, Object>) map)
          .computeIfAbsent(part, k -> new java.util.LinkedHashMap<>());
    }
    throw fault(keyPath, "names nothing that is there");
  }

  public boolean has(String key) {
    return all.get(key) != null;
  }

  /**
   * The keys of this table, for one whose keys are names of the writer's own; all count as known.
   */
  public List<String> keys() {
    known.addAll(all.keySet());
    return List.copyOf(all.keySet());
  }

  private <T> T at(String key, Class<T> kind, String word) {
    known.add(key);
    Object value = all.get(key);
    if (value != null && !kind.isInstance(value)) {
      throw fault(key, "not " + word);
    }
    return kind.cast(value);
  }

  /** A figure within bounds, both included. */
  public double number(String key, double otherwise, double least, double most) {
    Number found = at(key, Number.class, "a number");
    double value = found == null ? otherwise : found.doubleValue();
    if (!(value >= least && value <= most)) {
      throw fault(key, value + " is not from " + least + " to " + most);
    }
    return value;
  }

  public int integer(String key, int otherwise, int least, int most) {
    double value = number(key, otherwise, least, most);
    if (value != Math.rint(value)) {
      throw fault(key, value + " is not whole");
    }
    return (int) value;
  }

  public boolean flag(String key, boolean otherwise) {
    Boolean found = at(key, Boolean.class, "true or false");
    return found == null ? otherwise : found;
  }

  public String text(String key, String otherwise) {
    String found = at(key, String.class, "a text");
    return found == null ? otherwise : found;
  }

  /** A text that must be there. */
  public String text(String key) {
    String found = text(key, null);
    if (found == null || found.isEmpty()) {
      throw fault(key, "missing");
    }
    return found;
  }

  /** One of these words; the first is the default. */
  public String choice(String key, List<String> words) {
    String found = text(key, words.get(0));
    if (!words.contains(found)) {
      throw fault(key, "'" + found + "' is none of " + words);
    }
    return found;
  }

  /** Figures in a list; empty where the key is not there. */
  public double[] numbers(String key) {
    List<?> found = at(key, List.class, "a list");
    return found == null
        ? new double[0]
        : found.stream()
            .mapToDouble(
                one -> {
                  if (one instanceof Number n) {
                    return n.doubleValue();
                  }
                  throw fault(key, "not a list of numbers");
                })
            .toArray();
  }

  /** The table under this key, empty where it is not there. */
  @SuppressWarnings("unchecked")
  public ConfigurationReader section(String key) {
    Map<String, Object> found = at(key, Map.class, "a table");
    ConfigurationReader part =
        new ConfigurationReader(found == null ? Map.of() : found, whole(key), source);
    inner.add(part);
    return part;
  }

  /** The tables under this key. */
  @SuppressWarnings("unchecked")
  public List<ConfigurationReader> sections(String key) {
    List<?> found = at(key, List.class, "a list of tables");
    List<ConfigurationReader> parts = new ArrayList<>();
    for (int i = 0; found != null && i < found.size(); i++) {
      if (!(found.get(i) instanceof Map<?, ?> map)) {
        throw fault(key, "not a list of tables");
      }
      parts.add(
          new ConfigurationReader((Map<String, Object>) map, whole(key) + "[" + i + "]", source));
    }
    inner.addAll(parts);
    return parts;
  }

  /** Ends with an error if the file holds a key here or further in that nobody asked for. */
  public void rejectUnknownKeys() {
    for (String key : all.keySet()) {
      if (!known.contains(key)) {
        throw fault(key, "unknown key");
      }
    }
    inner.forEach(ConfigurationReader::rejectUnknownKeys);
  }
}
