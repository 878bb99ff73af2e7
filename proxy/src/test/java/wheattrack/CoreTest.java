package wheattrack;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wheattrack.config.InvalidConfigurationException;
import wheattrack.config.Json;
import wheattrack.config.ProxyConfig;
import wheattrack.core.BackendIndex;
import wheattrack.core.Lifecycle;
import wheattrack.core.Lifecycle.Phase;
import wheattrack.core.SlotTable;
import wheattrack.core.TimerQueue;
import wheattrack.testing.TraceRecorder;

/** The parts without I/O, and the configuration. */
class CoreTest {
  private static final class Srv extends BackendIndex.Backend<String> {
    boolean busy;

    Srv(String id, int at) {
      super(id, at);
    }

    @Override
    protected boolean hasWorkInFlight() {
      return busy;
    }
  }

  @Test
  void deadlines() throws IOException {
    TraceRecorder w = new TraceRecorder();
    TimerQueue d = new TimerQueue();
    List<TimerQueue.Timer> all = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      int at = i * 37 % 50;
      String name = at + "." + i;
      all.add(d.add(at, () -> w.say(name)));
    }
    for (int i = 0; i < 200; i++) {
      if (i % 9 != 0) {
        d.cancel(all.get(i));
        d.cancel(all.get(i));
      }
    }
    d.cancel(null);
    for (int now = 0; d.size() > 0; now += 10) {
      w.say("by " + now + ", first " + d.nextDeadline());
      for (Runnable due = d.pollDue(now); due != null; due = d.pollDue(now)) {
        due.run();
      }
    }
    w.matches("deadlines");
  }

  @Test
  void tables() throws IOException {
    TraceRecorder w = new TraceRecorder();
    SlotTable<String> slots = new SlotTable<>();
    w.say("slots " + slots.add("a") + slots.add("b") + slots.add("c"));
    slots.remove(1);
    slots.remove(1);
    slots.remove(7);
    w.say(
        slots.size()
            + " left "
            + slots.all()
            + ", 1 is "
            + slots.get(1)
            + ", next "
            + slots.add("d")
            + slots.add("e"));
    BackendIndex<String, Srv> fleet = new BackendIndex<>(Srv::new);
    for (String id : List.of("x", "y", "z")) {
      Srv srv = fleet.getOrAdd(id);
      w.say(id + " at " + srv.index + (fleet.markListed(srv) ? " fresh" : " known"));
    }
    w.say("x again " + (fleet.markListed(fleet.getOrAdd("x")) ? "fresh" : "known"));
    fleet.find("x").busy = true;
    for (Srv srv : fleet.listedExcept(Set.of("z"))) {
      w.say(srv.id + " missing " + fleet.markUnlisted(srv) + fleet.markUnlisted(srv));
    }
    w.say("new ones at " + fleet.getOrAdd("v").index + " and " + fleet.getOrAdd("w").index);
    w.say(
        "y "
            + fleet.find("y")
            + ", x still at "
            + fleet.find("x").index
            + ", none left "
            + fleet.markUnlisted(null));
    w.matches("tables");
  }

  /**
   * A fleet replaced again and again: 60 ids at a time, two of them busy for long, take few places.
   */
  @Test
  void replacedFleetTakesNoMorePlaces() {
    BackendIndex<String, Srv> fleet = new BackendIndex<>(Srv::new);
    int most = 0;
    for (int round = 0; round < 500; round++) {
      Set<String> named = new HashSet<>();
      for (int i = 0; i < 60; i++) {
        Srv srv = fleet.getOrAdd("s" + round + "-" + i);
        fleet.markListed(srv);
        srv.busy = i == round % 60;
        named.add(srv.id);
        most = Math.max(most, srv.index);
      }
      fleet.listedExcept(named).forEach(fleet::markUnlisted);
      if (round > 1) {
        int old = round - 2;
        fleet.find("s" + old + "-" + old % 60).busy = false;
      }
    }
    assertTrue(most <= 122, most + " places");
    assertNull(fleet.find("s0-0"));
  }

  @Test
  void phases() throws IOException {
    TraceRecorder w = new TraceRecorder();
    Lifecycle life = new Lifecycle(phase -> w.say("enters " + phase));
    for (Phase phase :
        new Phase[] {
          Phase.WARMING,
          Phase.SERVING,
          Phase.WARMING,
          Phase.DRAINING,
          Phase.SERVING,
          Phase.CLOSING,
          Phase.ENDED
        }) {
      w.say(
          phase
              + " "
              + life.advanceTo(phase)
              + (life.isReady() ? " ready" : "")
              + (life.isShuttingDown() ? " leaving" : ""));
    }
    w.matches("phases");
  }

  /** A wrong value ends the start with one line that names its key. */
  @Test
  void namesTheFaultyKey() throws IOException {
    TraceRecorder w = new TraceRecorder();
    String good =
        "'listen':'127.0.0.1:8000','discovery':'[::1]:8500',"
            + "'settings':{'ruleSets':[{'name':'buy','clientTimeout':1200000,'effect':'read_like'}]}";
    for (String in :
        new String[] {
          good,
          "",
          good.replace("127.0.0.1:8000", "localhost:80"),
          good.replace(":8000", ":80000"),
          good.replace(":8000", ""),
          good.replace("'[::1]:8500'", "7"),
          good + ",'seed':'xyz'",
          good + ",'limits':{'sockets':'many'}",
          good + ",'limits':{'sockets':12}",
          good + ",'limits':7",
          good + ",'known':[]",
          good.replace("1200000", "'soon'"),
          good.replaceAll("\\[\\{.*\\]", "[3]"),
          good.replace("'ruleSets'", "'sets'"),
          good.replace("1200000", "-1"),
          good.replace("1200000", "50"),
          good.replace("read_like", "red_like"),
          good.replace("'name'", "'nom'"),
          good.replace("'ruleSets'", "'zone':1,'ruleSets'"),
          good.replace("'ruleSets'", "'me':2,'balancers':2,'ruleSets'"),
          good + ",'drain_ms':-1",
          good.replaceAll("\\[(\\{.*)\\]", "[$1,$1]"),
          good.replace("'ruleSets'", "'limits':{'maxDispatches':0},'ruleSets'")
        }) {
      try {
        Map<String, Object> all = Json.object(("{" + in + "}").replace('\'', '"'));
        ProxyConfig c = new ProxyConfig(all);
        w.say("good: " + c.listen() + " " + c.discovery() + " " + c.maxDescriptors());
      } catch (InvalidConfigurationException e) {
        w.say(e.getMessage());
      }
    }
    try {
      ProxyConfig.read(java.nio.file.Path.of("no-such-file.json"));
    } catch (InvalidConfigurationException e) {
      w.say(e.getMessage());
    }
    w.matches("config");
  }

  /**
   * Slow restarts: the build rehearses a start with the example's file, wherever its port is taken.
   */
  @Test
  void rehearsal() throws IOException {
    TraceRecorder w = new TraceRecorder();
    Path file = Files.createTempFile("wheattrack", ".json");
    Files.writeString(
        file,
        "{\"listen\":\"10.0.0.4:8000\",\"discovery\":\"10.2.0.1:8500\",\"settings\":"
            + "{\"ruleSets\":[{\"name\":\"buy\",\"effect\":\"read_like\",\"clientTimeout\":1000}]}}");
    w.say(
        "served at "
            + ProxyConfig.read(file).listen()
            + ", rehearsed at "
            + ProxyConfig.readForTraining(file, 9).listen());
    Files.delete(file);
    w.matches("rehearsal");
  }
}
