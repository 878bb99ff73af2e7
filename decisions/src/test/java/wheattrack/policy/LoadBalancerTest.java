package wheattrack.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wheattrack.policy.RecordingRuntime.SECOND;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.DeduplicationScope;
import wheattrack.api.Idempotency;
import wheattrack.api.PolicySettings;

class LoadBalancerTest {
  private static final int[] COSTS = {10, 20, 30, 40, 50, 60, 70, 80};

  private static RecordingRuntime replayable(int srvs, boolean duplicates) {
    return replayable(srvs, 0, 3, duplicates);
  }

  private static RecordingRuntime replayable(int srvs, int me, int proxies, boolean duplicates) {
    return RecordingRuntime.of(
        srvs,
        me,
        proxies,
        RecordingRuntime.set(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
        duplicates,
        false);
  }

  private static RecordingRuntime reporting(boolean asked) {
    RecordingRuntime w = replayable(4, false);
    w.configure(w.settings.withLoadReports(new PolicySettings.LoadReports(true, asked)));
    return w;
  }

  /** Two are asked before the first dispatch; no answer holds a req for longer than a moment. */
  @Test
  void askedFirst() {
    RecordingRuntime w = reporting(true);
    w.arrive("x", 100);
    assertEquals(
        List.of(2, 0), List.of(w.trace.toString().split("probe").length - 1, w.sent.size()));
    w.pass(SECOND / 2 / 30);
    assertEquals(1, w.sent.size());
    w.pass(SECOND);
    assertEquals(1, w.sent.size());
  }

  /**
   * By their reports three have work ahead of any req: the fourth gets all that its report can
   * mean.
   */
  @Test
  void crowdedByReport() {
    RecordingRuntime w = reporting(false);
    for (int i = 0; i < 20; i++) {
      for (int b = 0; b < 4; b++) {
        w.rules.onLoadReport(b, b == 2 ? 0 : 9, b == 2 ? 0 : 7);
      }
      w.arrive("x", COSTS[i % 8]);
      w.pass(100);
      w.end(AttemptOutcome.DONE);
    }
    assertEquals(20, Collections.frequency(w.where, 2));
  }

  /**
   * Too heavy for its client's time even alone: denied at once; after a target of that it is tried.
   */
  @Test
  void hopelessIsDeniedAtOnce() {
    RecordingRuntime w = reporting(false);
    w.busy(2, COSTS);
    int before = w.sent.size();
    w.arrive("x", 200_000);
    assertTrue(w.trace.toString().contains("x denied"), w.trace.toString());
    assertEquals(before, w.sent.size());
    w.pass(SECOND / 2);
    w.arrive("y", 200_000);
    assertEquals(before + 1, w.sent.size());
  }

  /** An open connection costs a handshake in a second here: it is closed then, and no sooner. */
  @Test
  void restingConnectionsEnd() {
    RecordingRuntime w = replayable(4, false);
    w.configure(w.settings.withTraffic(new PolicySettings.Traffic(400, 0.08, 0.08)));
    w.rules.endpointListUpdated(false);
    w.arrive("x", 100);
    w.end(AttemptOutcome.DONE);
    w.pass(SECOND - 1);
    assertFalse(w.trace.toString().contains("hang up"), w.trace.toString());
    w.pass(SECOND / 5);
    assertTrue(
        w.trace.toString().contains("hang up " + (10 * w.where.get(0) + 10)), w.trace.toString());
  }

  /**
   * Equal shares of summed cost in id order; a value on a cut is split; crowded srvs are passed
   * over.
   */
  @Test
  void cutsAndPassesOver() throws IOException {
    RecordingRuntime w = replayable(4, false);
    w.busy(3, COSTS);
    for (int cost : COSTS) {
      int[] went = new int[4];
      w.quiet = true;
      for (int i = 0; i < 20; i++) {
        w.arrive("x", cost);
        went[w.where.get(w.where.size() - 1)]++;
        w.pass(cost);
        w.end(AttemptOutcome.DONE);
      }
      w.quiet = false;
      w.say(cost + ": " + Arrays.toString(went));
    }
    w.say("four alike at once");
    for (int i = 0; i < 4; i++) {
      w.arrive("r" + i, 100);
    }
    w.matches("cuts");
  }

  /** No effect twice: after which outcome a non-replayable req goes on, is denied or is aborted. */
  @Test
  void nonReplayable() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (AttemptOutcome how : AttemptOutcome.values()) {
      if (how != AttemptOutcome.DONE) {
        RecordingRuntime one =
            RecordingRuntime.of(
                2,
                0,
                RecordingRuntime.set(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0),
                true,
                false);
        one.arrive("pay", 100);
        one.end(how);
        w.say(how + ":\n" + one.trace);
      }
    }
    w.matches("non-replayable");
  }

  /**
   * Retune day: srvs that answer errors at once stand idle, and took what busy ones had no room
   * for.
   */
  @Test
  void ailingIsNoRefuge() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (Idempotency effect :
        new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT}) {
      RecordingRuntime one =
          RecordingRuntime.of(
              4, 0, RecordingRuntime.set(effect, DeduplicationScope.ALL, 0), false, false);
      one.quiet = true;
      for (int i = 0; i < 600; i++) {
        one.arrive("x", COSTS[i % 8]);
        one.pass(COSTS[i % 8]);
        for (int k = one.sent.size() - 1; k < one.sent.size(); k++) {
          one.end(k, one.where.get(k) == 1 ? AttemptOutcome.ERROR : AttemptOutcome.DONE);
        }
      }
      int[] went = new int[4];
      for (int i = 0, from = one.sent.size(); i < 20; i++) {
        one.arrive("burst", 80);
        for (; from < one.sent.size(); from++) {
          went[one.where.get(from)]++;
        }
      }
      w.say(effect + ": " + Arrays.toString(went));
    }
    w.matches("ailing");
  }

  /** A uniqued req that may have run is sent again inside its group and window only. */
  @Test
  void uniqued() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (DeduplicationScope group : DeduplicationScope.values()) {
      for (long wait : new long[] {SECOND / 10 - 1, SECOND / 10}) {
        RecordingRuntime one =
            RecordingRuntime.of(
                7,
                0,
                RecordingRuntime.set(Idempotency.IDEMPOTENT_WITH_KEY, group, 0.5),
                true,
                false);
        one.arrive("mark", 100);
        one.pass(wait);
        one.end(AttemptOutcome.RESET);
        w.say(group + " after " + wait + ":\n" + one.trace);
      }
    }
    w.matches("uniqued");
  }

  /** Drained, gone, stale after a restart, one left, none: nothing new goes to who left. */
  @Test
  void listChanges() throws IOException {
    RecordingRuntime w = replayable(3, true);
    w.list(0, false, Long.MIN_VALUE / 2);
    w.rules.removeBackend(1);
    w.rules.endpointListUpdated(false);
    w.arrive("a", 100);
    w.arrive("odd", Integer.MAX_VALUE / 4);
    w.end(0, AttemptOutcome.DONE);
    w.list(2, false, Long.MIN_VALUE / 2);
    w.arrive("b", 0);
    w.say("restarted with the saved list");
    RecordingRuntime again =
        RecordingRuntime.of(
            1,
            0,
            RecordingRuntime.set(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
            true,
            true);
    again.rules.endpointListFailed(false);
    again.rules.endpointListFailed(false);
    again.pass(2 * SECOND);
    again.rules.endpointListUpdated(false);
    again.pass(20 * SECOND);
    w.say(again.trace.toString());
    w.matches("list");
  }

  /**
   * Hundreds restart together and the list turns every call away: the calls spread and thin out.
   */
  @Test
  void listAskedByMany() throws IOException {
    int[] calls = new int[30];
    for (int me = 0; me < 300; me++) {
      RecordingRuntime one =
          RecordingRuntime.of(
              2,
              me,
              300,
              RecordingRuntime.set(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
              true,
              true);
      int answered = 0;
      for (int tenth = 0; tenth < 300; tenth++) {
        for (; answered < one.asked; answered++) {
          calls[tenth / 10]++;
          one.rules.endpointListFailed(false);
        }
        one.pass(SECOND / 10);
      }
    }
    RecordingRuntime w = new RecordingRuntime();
    w.say("calls of 300 proxies by second: " + Arrays.toString(calls));
    w.matches("list-many");
  }

  /**
   * A number of proxies that is absent or huge, odd hints, one srv, none: a dispatch or a quick
   * deny.
   */
  @Test
  void oddSettings() throws IOException {
    RecordingRuntime all = new RecordingRuntime();
    for (int proxies : new int[] {0, 5000}) {
      RecordingRuntime w = replayable(1, 0, proxies, true);
      for (int cost : new int[] {Integer.MAX_VALUE / 4, 0, 1}) {
        w.arrive("hint " + cost, cost);
        w.end(AttemptOutcome.DONE);
      }
      w.rules.removeBackend(0);
      w.rules.endpointListUpdated(false);
      w.arrive("no srv", 100);
      all.say("one of " + proxies + " proxies:\n" + w.trace);
    }
    all.matches("odd-settings");
  }

  /** Where the reqs of a busy second went. */
  private static List<Integer> inASecond(RecordingRuntime w) {
    int before = w.where.size();
    w.busy(1, COSTS);
    return w.where.subList(before, w.where.size());
  }

  /**
   * Incident, cold srvs pushed over by light reqs: three proxies keep a fresh srv within its
   * budget.
   */
  @Test
  void freshSrvUnderAllProxies() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (int me = 0; me < 3; me++) {
      RecordingRuntime one = replayable(4, me, 3, false);
      one.rules.removeBackend(0);
      one.rules.endpointListUpdated(false);
      one.busy(4, COSTS);
      one.list(0, true, one.now());
      one.rules.endpointListUpdated(false);
      for (int s = 0; s < 9; s++) {
        List<Integer> went = inASecond(one);
        w.say(
            me + " in second " + s + ": " + Collections.frequency(went, 0) + " of " + went.size());
      }
    }
    w.matches("fresh");
  }

  /**
   * join+vast, new srvs left idle while the rest was overrun: of 8 proxies before 48 srvs each
   * meets 24, and the 24 that get nothing from it are no measure of what a cold one can bear. The
   * turns are among the four that meet it: the sixth proxy's is the second.
   */
  @Test
  void freshSrvOfAPart() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (int me : new int[] {0, 1, 5}) {
      RecordingRuntime one = replayable(48, me, 8, false);
      one.busy(6, COSTS);
      int fresh = 24 * (me % 2) + 12;
      one.list(fresh, true, one.now());
      one.rules.endpointListUpdated(false);
      for (int s = 0; s < 8; s++) {
        List<Integer> went = inASecond(one);
        long met = went.stream().distinct().count();
        w.say(
            me
                + " in second "
                + s
                + ": "
                + Collections.frequency(went, fresh)
                + " of "
                + went.size()
                + " at "
                + met);
      }
    }
    w.matches("fresh-part");
  }

  /**
   * herd+vast, new srvs kept idle as long as little was sent anywhere: the budget is what they can
   * do.
   */
  @Test
  void freshSrvAfterAQuietTime() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (int proxies : new int[] {1, 3}) {
      RecordingRuntime one = replayable(2, 0, proxies, false);
      one.rules.removeBackend(1);
      one.rules.endpointListUpdated(false);
      one.quiet = true;
      for (int i = 0; i < 40; i++) {
        one.arrive("seldom", 40);
        one.pass(40);
        one.end(AttemptOutcome.DONE);
        one.pass(SECOND / 5);
      }
      one.list(1, true, one.now());
      one.rules.endpointListUpdated(false);
      for (int s = 0; s < 3; s++) {
        List<Integer> went = inASecond(one);
        w.say(
            "of "
                + proxies
                + " in second "
                + s
                + ": "
                + Collections.frequency(went, 1)
                + " of "
                + went.size());
      }
    }
    w.matches("fresh-quiet");
  }

  /**
   * join+vast, new srvs quicker than their age says were kept at it: what one does is what it can
   * bear.
   */
  @Test
  void freshSrvShowsItsPace() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (int slower : new int[] {1, 4}) { // times longer at the new one
      RecordingRuntime one = replayable(3, 0, 8, false);
      one.rules.removeBackend(2);
      one.rules.endpointListUpdated(false);
      one.quiet = true;
      for (int s = 0; s < 8; s++) {
        int before = one.where.size();
        for (int i = 0; i < 50; i++) {
          int first = one.sent.size();
          one.arrive("a", 40);
          one.arrive("b", 40);
          one.pass(40);
          for (int time = 40; time <= 160; time += 40) {
            for (int k = first; k < one.sent.size(); k++) {
              if (time == (one.where.get(k) == 2 ? 40 * slower : 160)) {
                one.end(k, AttemptOutcome.DONE);
              }
            }
            one.pass(40);
          }
        }
        List<Integer> went = one.where.subList(before, one.where.size());
        w.say(
            "new one "
                + slower
                + " times as slow, second "
                + s
                + ": "
                + Collections.frequency(went, 2)
                + " of "
                + went.size());
        if (s == 3) {
          one.list(2, true, one.now());
          one.rules.endpointListUpdated(false);
        }
      }
    }
    w.matches("fresh-shows");
  }

  /**
   * herd+vast, ten of 14 start anew at once and fill every queue: at a srv not yet met all wait.
   */
  @Test
  void allStartAtOnce() throws IOException {
    RecordingRuntime w = new RecordingRuntime();
    for (int proxies : new int[] {1, 14}) {
      RecordingRuntime one = replayable(60, 0, proxies, false);
      one.quiet = true;
      for (int i = 0; i < 300; i++) {
        one.arrive("r" + i, 600 + i % 7 * 100);
      }
      int most =
          one.where.stream().mapToInt(b -> Collections.frequency(one.where, b)).max().orElse(0);
      w.say(
          "one of "
              + proxies
              + ": "
              + one.where.size()
              + " of 300 sent, "
              + most
              + " at most to a srv");
    }
    w.matches("all-start");
  }

  /**
   * amman quiet, falsely shut srvs; repas big-1, hung srvs found late: silence shuts, an answer
   * opens.
   */
  @Test
  void hungSrv() throws IOException {
    for (boolean duplicates : new boolean[] {true, false}) {
      RecordingRuntime w = replayable(3, duplicates);
      w.busy(2, COSTS);
      int first = w.sent.size();
      for (int i = 0; i < 8; i++) {
        w.arrive("r" + i, 10 * i + 10);
        w.pass(300);
        for (int k = first; k < w.sent.size(); k++) {
          if (w.where.get(k) != 0) {
            w.end(k, AttemptOutcome.DONE);
          }
        }
        first = w.sent.size();
      }
      w.pass(SECOND);
      w.arrive("trial", 10);
      w.end(AttemptOutcome.DONE);
      w.matches("hung-" + (duplicates ? "copies" : "moves"));
    }
  }

  /**
   * repas, wasted late work: past its target a req that earns nothing is called off and denied at
   * once; but amman-later rough-2, the same work done twice: only if the wait advised outlasts its
   * client.
   */
  @Test
  void pastItsTarget() throws IOException {
    RecordingRuntime all = new RecordingRuntime();
    for (long longestWait : new long[] {SECOND, 2 * SECOND}) {
      RecordingRuntime w = replayable(1, false);
      w.configure(
          w.settings.withAttempts(new PolicySettings.AttemptLimits(4, true, false, longestWait)));
      w.arrive("late", 100);
      w.pass(SECOND / 2);
      w.arrive("next", 4000);
      w.end(0, AttemptOutcome.CANCELLED);
      w.arrive("queued behind the ghost", 100);
      all.say("waits up to " + longestWait / 10 + " ms:\n" + w.trace);
    }
    all.matches("late");
  }

  /**
   * repas-later big-1, reqs lost in queues no proxy sees: alone there past its share of target, a
   * copy.
   */
  @Test
  void secondCopy() throws IOException {
    RecordingRuntime all = new RecordingRuntime();
    for (int proxies : new int[] {3, 300}) {
      RecordingRuntime w = replayable(4, 0, proxies, true);
      w.busy(3, COSTS);
      w.arrive("alone", 40);
      w.pass(2500);
      w.end(AttemptOutcome.DONE);
      all.say("one of " + proxies + " proxies, 250 ms later:\n" + w.trace);
    }
    all.matches("second-copy");
  }

  /**
   * i306e13, every srv's connections taken by 726 proxies: of hundreds each meets its turn of the
   * srvs.
   */
  @Test
  void partOfTheFleet() throws IOException {
    RecordingRuntime all = new RecordingRuntime();
    for (int proxies : new int[] {3, 50, 300}) {
      int[] met = new int[40];
      for (int me = 0; me < proxies; me++) {
        RecordingRuntime w = replayable(40, me, proxies, true);
        for (int i = 0; i < 400; i++) {
          w.arrive("r", 0);
          w.end(AttemptOutcome.DONE);
        }
        w.where.stream().distinct().forEach(b -> met[b]++);
      }
      all.say(proxies + " proxies, those that meet each srv: " + Arrays.toString(met));
    }
    all.matches("part");
  }

  /**
   * i8788ed, an outage takes most of a proxy's part of the srvs: the part widens within a second.
   */
  @Test
  void partWidens() throws IOException {
    RecordingRuntime w = replayable(30, 0, 12, false);
    w.quiet = true;
    w.arrive("r", 0);
    for (int k = 0; k < w.sent.size() && k < 40; k++) {
      w.end(k, AttemptOutcome.NO_CONNECT);
      w.arrive("r", 0);
    }
    long before = w.where.stream().distinct().count();
    w.pass(2 * SECOND);
    for (int i = 0; i < 100; i++) {
      w.arrive("r", 0);
      w.end(AttemptOutcome.DONE);
    }
    w.quiet = false;
    w.say(
        before
            + " srvs met, all turn it away; a second later "
            + w.where.stream().distinct().count());
    w.matches("part-widens");
  }

  /**
   * ibf8546, bad srvs forgotten between two visits: where visits are rare, a slow srv stays known.
   */
  @Test
  void slowSrvMetRarely() throws IOException {
    RecordingRuntime w = replayable(4, 0, 300, false);
    w.quiet = true;
    for (int i = 0; i < 80; i++) {
      w.arrive("rare", COSTS[i % COSTS.length]);
      w.pass(w.where.get(i) == 0 ? 4000 : 100);
      w.end(AttemptOutcome.DONE);
      w.pass(2 * SECOND);
    }
    w.quiet = false;
    for (int b = 0; b < 4; b++) {
      w.say(10 * b + 10 + ": " + Collections.frequency(w.where, b));
    }
    w.matches("slow-rare");
  }

  /** repas big-1, full srvs asked again and again: full answers teach the room. (Also i6d7f1e.) */
  @Test
  void roomLearnt() throws IOException {
    RecordingRuntime w = replayable(2, false);
    w.busy(2, COSTS);
    for (int i = 0; i < 6; i++) {
      w.arrive("r" + i, 100);
      if (i % 3 == 2) {
        w.end(AttemptOutcome.FULL);
      }
    }
    RecordingRuntime one = replayable(2, false);
    one.arrive("first", 100);
    one.end(AttemptOutcome.NO_CONNECT);
    one.end(AttemptOutcome.DONE);
    for (int i = 0; i < 4; i++) {
      one.arrive("s" + i, 100);
      one.end(AttemptOutcome.DONE);
    }
    w.say("nothing out there and no connection:\n" + one.trace);
    w.matches("room");
  }

  /**
   * Service days: srvs that gave up on a req after a while were shut as if their doors were closed.
   */
  @Test
  void gaveUpAfterAWait() throws IOException {
    RecordingRuntime w = replayable(2, false);
    w.busy(2, COSTS);
    for (long wait : new long[] {SECOND / 10, SECOND / 100}) {
      w.arrive("given up on after " + wait / 10 + " ms", 100);
      w.pass(wait);
      w.end(AttemptOutcome.FULL);
      w.end(AttemptOutcome.DONE);
    }
    w.matches("gave-up");
  }

  /**
   * Service days: a req in work and a long way there were held for a wait that stands, at idle
   * srvs.
   */
  @Test
  void oneInWork() throws IOException {
    RecordingRuntime w = replayable(1, false);
    w.quiet = true;
    for (int i = 0; i < 200; i++) { // one at a time, 83 ms each, the most of it on its way
      w.arrive("busy", 300);
      w.pass(SECOND / 12);
      w.end(AttemptOutcome.DONE);
    }
    w.quiet = false;
    w.arrive("in work", 300);
    w.arrive("next", 300);
    w.arrive("one more", 300);
    w.matches("one-in-work");
  }

  /**
   * Without hints a random ready srv takes each req, long lags alone deny nothing, a cold srv is
   * met.
   */
  @Test
  void noHints() throws IOException {
    RecordingRuntime w = replayable(4, false);
    w.rules.removeBackend(3);
    w.rules.endpointListUpdated(false);
    w.quiet = true;
    for (int i = 0; i < 120; i++) {
      w.arrive("plain", 0);
      w.pass(1000);
      w.end(AttemptOutcome.DONE);
      if (i == 40) {
        w.list(3, true, w.now());
        w.rules.endpointListUpdated(false);
      }
    }
    w.quiet = false;
    int[] went = new int[4];
    w.where.forEach(b -> went[b]++);
    w.say("of 120: " + Arrays.toString(went));
    w.matches("no-hints");
  }

  /** Reqs one after the other, 20 ms each; says how many were sent. */
  private static void count(RecordingRuntime w, String what, int reqs, int hint) {
    int sent = w.sent.size();
    w.quiet = true;
    for (int i = 0; i < reqs; i++) {
      int before = w.sent.size();
      w.arrive("r", hint);
      w.pass(200);
      if (w.sent.size() > before) {
        w.end(AttemptOutcome.DONE);
      }
    }
    w.quiet = false;
    w.say(what + ": " + (w.sent.size() - sent) + " of " + reqs + " sent");
  }

  /**
   * A release of the clients, idle srvs denied for 4 s: hints begin, end, begin again in thousands.
   */
  @Test
  void hintsBegin() throws IOException {
    RecordingRuntime all = new RecordingRuntime();
    for (int proxies : new int[] {1, 3, 300}) {
      RecordingRuntime w = replayable(3, 0, proxies, false);
      count(w, "without hints", 200, 0);
      count(w, "hints of 20 ms", 50, 200);
      count(w, "without again", 50, 0);
      count(w, "hints of 20,000 ms", 100, 200_000);
      count(w, "hints of 0.2 ms", 100, 2);
      all.say("one of " + proxies + " proxies\n" + w.trace);
    }
    all.matches("hints-begin");
  }

  /**
   * Grown overload: a heavy req that its clients try again and again is no new unit; new hints are.
   */
  @Test
  void retriesMoveNothing() throws IOException {
    RecordingRuntime w = replayable(3, false);
    w.busy(5, COSTS);
    for (int i = 0; i < 40; i++) {
      w.quiet = true;
      w.retry("heavy", 72_000);
      w.quiet = false;
    }
    w.say("forty retries of a heavy req");
    for (int i = 0; i < 10; i++) {
      w.quiet = i < 5;
      w.arrive("r" + i, 1000 * COSTS[i % COSTS.length]);
      w.quiet = false;
    }
    w.matches("retries");
  }

  /** Much denied while nothing is out: one line a second says so, and why. */
  @Test
  void deniesWhileIdle() throws IOException {
    RecordingRuntime w = replayable(2, false);
    w.rules.removeBackend(0);
    w.rules.removeBackend(1);
    w.rules.endpointListUpdated(false);
    for (int i = 0; i < 30; i++) {
      w.quiet = true;
      w.arrive("r", 100);
      w.quiet = false;
      w.pass(SECOND / 10);
    }
    w.matches("denies-while-idle");
  }
}
