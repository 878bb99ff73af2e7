package wheattrack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/** Reads and validates the proxy's JSON file. */
class ProxyConfigTest {
  private static final String VALID =
      "'listen':'127.0.0.1:8000','discovery':'[::1]:8500',"
          + "'settings':{'ruleSets':[{'name':'buy','clientTimeout':1200000,'effect':'read_like'}]}";

  /** The members of each file's object, in single quotes, in the order of the expected trace. */
  private static final List<String> FILES =
      List.of(
          VALID,
          "",
          withReplaced("127.0.0.1:8000", "localhost:80"),
          withReplaced(":8000", ":80000"),
          withReplaced(":8000", ""),
          withReplaced("'[::1]:8500'", "7"),
          withKey("'seed':'xyz'"),
          withKey("'limits':{'sockets':'many'}"),
          withKey("'limits':{'sockets':12}"),
          withKey("'limits':7"),
          withKey("'known':[]"),
          withReplaced("1200000", "'soon'"),
          VALID.replaceAll("\\[\\{.*\\]", "[3]"),
          withReplaced("'ruleSets'", "'sets'"),
          withReplaced("1200000", "-1"),
          withReplaced("1200000", "50"),
          withReplaced("read_like", "red_like"),
          withReplaced("'name'", "'nom'"),
          withSetting("'zone':1"),
          withSetting("'me':2,'balancers':2"),
          withKey("'drain_ms':-1"),
          VALID.replaceAll("\\[(\\{.*)\\]", "[$1,$1]"),
          withSetting("'limits':{'maxDispatches':0}"),
          withKey("'limits':{'memory_mb':0}"),
          withKey("'limits':{'memory_mb':'much'}"));

  private static String withReplaced(String original, String replacement) {
    return VALID.replace(original, replacement);
  }

  private static String withKey(String member) {
    return VALID + "," + member;
  }

  private static String withSetting(String member) {
    return withReplaced("'ruleSets'", member + ",'ruleSets'");
  }

  private static ProxyConfig parse(String members) throws IOException {
    return new ProxyConfig(Json.object(("{" + members + "}").replace('\'', '"')));
  }

  private static String addressesOrError(Callable<ProxyConfig> source) throws Exception {
    try {
      ProxyConfig config = source.call();
      return "good: " + config.listen() + " " + config.discovery() + " " + config.maxDescriptors();
    } catch (InvalidConfigurationException e) {
      return e.getMessage();
    }
  }

  /** The error for an invalid value is one line that names its key. */
  @Test
  void validFileIsReadAndErrorNamesTheKey() throws Exception {
    TraceRecorder recorder = new TraceRecorder();
    for (String file : FILES) {
      recorder.recordLine(addressesOrError(() -> parse(file)));
    }
    recorder.recordLine(addressesOrError(() -> ProxyConfig.read(Path.of("no-such-file.json"))));
    recorder.assertMatches("config");
  }

  /**
   * The build runs a training start with the example's file, even while the file's port is in use.
   */
  @Test
  void trainingStartListensOnAnyFreePort() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(
        file,
        "{\"listen\":\"10.0.0.4:8000\",\"discovery\":\"10.2.0.1:8500\",\"settings\":"
            + "{\"ruleSets\":[{\"name\":\"buy\",\"effect\":\"read_like\",\"clientTimeout\":1000}]}}");
    recorder.recordLine(
        "served at "
            + ProxyConfig.read(file).listen()
            + ", rehearsed at "
            + ProxyConfig.readForTraining(file, 9).listen());
    Files.delete(file);
    recorder.assertMatches("rehearsal");
  }
}
