package wheattrack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wheattrack.testing.TraceRecorder;

/** The proxy's file of the first format. */
class ProxyConfigTest {
  private static final String VALID =
      "'listen':'127.0.0.1:8000','discovery':'[::1]:8500',"
          + "'settings':{'ruleSets':[{'name':'buy','clientTimeout':1200000,'effect':'read_like'}]}";

  private static final String[] FILES = {
    VALID,
    "",
    VALID.replace("127.0.0.1:8000", "localhost:80"),
    VALID.replace(":8000", ":80000"),
    VALID.replace(":8000", ""),
    VALID.replace("'[::1]:8500'", "7"),
    VALID + ",'seed':'xyz'",
    VALID + ",'limits':{'sockets':'many'}",
    VALID + ",'limits':{'sockets':12}",
    VALID + ",'limits':7",
    VALID + ",'known':[]",
    VALID.replace("1200000", "'soon'"),
    VALID.replaceAll("\\[\\{.*\\]", "[3]"),
    VALID.replace("'ruleSets'", "'sets'"),
    VALID.replace("1200000", "-1"),
    VALID.replace("1200000", "50"),
    VALID.replace("read_like", "red_like"),
    VALID.replace("'name'", "'nom'"),
    VALID.replace("'ruleSets'", "'zone':1,'ruleSets'"),
    VALID.replace("'ruleSets'", "'me':2,'balancers':2,'ruleSets'"),
    VALID + ",'drain_ms':-1",
    VALID.replaceAll("\\[(\\{.*)\\]", "[$1,$1]"),
    VALID.replace("'ruleSets'", "'limits':{'maxDispatches':0},'ruleSets'")
  };

  /** A wrong value ends the start with one line that names its key. */
  @Test
  void namesTheFaultyKey() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    for (String file : FILES) {
      try {
        Map<String, Object> keys = Json.object(("{" + file + "}").replace('\'', '"'));
        ProxyConfig config = new ProxyConfig(keys);
        recorder.say(
            "good: " + config.listen() + " " + config.discovery() + " " + config.maxDescriptors());
      } catch (InvalidConfigurationException e) {
        recorder.say(e.getMessage());
      }
    }
    try {
      ProxyConfig.read(Path.of("no-such-file.json"));
    } catch (InvalidConfigurationException e) {
      recorder.say(e.getMessage());
    }
    recorder.matches("config");
  }

  /** The build trains a start with the example's file, also where its port is in use. */
  @Test
  void trainingStartListensOnAnyFreePort() throws IOException {
    TraceRecorder recorder = new TraceRecorder();
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(
        file,
        "{\"listen\":\"10.0.0.4:8000\",\"discovery\":\"10.2.0.1:8500\",\"settings\":"
            + "{\"ruleSets\":[{\"name\":\"buy\",\"effect\":\"read_like\",\"clientTimeout\":1000}]}}");
    recorder.say(
        "served at "
            + ProxyConfig.read(file).listen()
            + ", rehearsed at "
            + ProxyConfig.readForTraining(file, 9).listen());
    Files.delete(file);
    recorder.matches("rehearsal");
  }
}
