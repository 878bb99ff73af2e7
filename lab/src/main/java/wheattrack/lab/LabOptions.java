package wheattrack.lab;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.lab.virtual.Policies;

/**
 * The options of the lab's command line. Methods that read an option throw
 * InvalidConfigurationException, with the option's name, if its value is not valid.
 */
final class LabOptions {
  /** A key of a scenario that the command line sets, and its value as given there. */
  record Setting(String key, String value) {
    private static Setting parse(String text, String form) {
      int equalsSign = text.indexOf('=');
      if (equalsSign <= 0) {
        throw new InvalidConfigurationException(
            "--set", "expected " + form + ", got '" + text + "'");
      }
      return new Setting(text.substring(0, equalsSign), text.substring(equalsSign + 1));
    }
  }

  private static final String DEFAULT_SOAK_SEEDS = "1-8";
  private static final Pattern SEED_RANGE = Pattern.compile("(?<first>\\d{1,9})-(?<last>\\d{1,9})");

  private LabOptions() {}

  static CommandLine parse(String[] args) throws ParseException {
    Options options =
        new Options()
            .addOption(null, "seed", true, "")
            .addOption(null, "out", true, "")
            .addOption(null, "policy", true, "")
            .addOption(null, "jar", true, "")
            .addOption(null, "seeds", true, "")
            .addOption(null, "base", true, "")
            .addOption(null, "cand", true, "")
            .addOption(null, "set", true, "")
            .addOption(null, "axis", true, "")
            .addOption(null, "points", true, "")
            .addOption(null, "memory-mb", true, "")
            .addOption(null, "help", false, "");
    return new DefaultParser().parse(options, args);
  }

  /** The options for playing a scenario. */
  static ScenarioRunner.RunOptions runOptions(CommandLine line) {
    String policy = line.getOptionValue("policy", Policies.names().get(0));
    if (!Policies.names().contains(policy)) {
      throw new InvalidConfigurationException(
          "--policy", "expected one of " + Policies.names() + ", got '" + policy + "'");
    }
    long seed = seed(line);
    return new ScenarioRunner.RunOptions(
        seed, outputDirectory(line), policy(policy), proxyJar(line));
  }

  /** The proxies' jar: the one of --jar, or the one built in the repository. */
  static Path proxyJar(CommandLine line) {
    Path proxyJar = path(line, "jar");
    return proxyJar == null ? ScenarioCatalog.proxyJar() : proxyJar;
  }

  /** The first and the last seed of a soak; both may be the same. */
  record SeedRange(long first, long last) {}

  /** The seeds to play, as in {@code --seeds 1-8}. */
  static SeedRange seedRange(CommandLine line) {
    String text = line.getOptionValue("seeds", DEFAULT_SOAK_SEEDS);
    Matcher matcher = SEED_RANGE.matcher(text);
    if (!matcher.matches()) {
      throw new InvalidConfigurationException(
          "--seeds", "expected A-B with numbers of at most 9 digits, got '" + text + "'");
    }
    SeedRange range =
        new SeedRange(
            Long.parseLong(matcher.group("first")), Long.parseLong(matcher.group("last")));
    if (range.first > range.last) {
      throw new InvalidConfigurationException(
          "--seeds", "expected a last seed not below the first, got '" + text + "'");
    }
    return range;
  }

  static long seed(CommandLine line) {
    return wholeNumber(line, "seed", 1);
  }

  /** The directory of --out, or null without that option. */
  static Path outputDirectory(CommandLine line) {
    return path(line, "out");
  }

  private static Path path(CommandLine line, String option) {
    return line.hasOption(option) ? Path.of(line.getOptionValue(option)) : null;
  }

  /** The policy of this name, which must be one of {@link Policies#names}. */
  static Policies.Kind policy(String name) {
    return Policies.Kind.values()[Policies.names().indexOf(name)];
  }

  /** The values of --set by the scenario's key. */
  static Map<String, String> settings(CommandLine line) {
    Map<String, String> settings = new LinkedHashMap<>();
    for (Setting setting : settings(line, "KEY=VALUE")) {
      settings.put(setting.key, setting.value);
    }
    return settings;
  }

  /**
   * The settings of --set in the order of the command line.
   *
   * @param form the expected form of a setting, for the error message
   */
  static List<Setting> settings(CommandLine line, String form) {
    String[] texts = line.hasOption("set") ? line.getOptionValues("set") : new String[0];
    return Arrays.stream(texts).map(text -> Setting.parse(text, form)).toList();
  }

  static long wholeNumber(CommandLine line, String option, long defaultValue) {
    String text = line.getOptionValue(option, Long.toString(defaultValue));
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException(
          "--" + option, "expected a whole number, got '" + text + "'");
    }
  }
}
