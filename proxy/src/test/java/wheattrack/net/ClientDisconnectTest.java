package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that leaves while its req waits: it is seen to leave while the wait still lasts, and
 * nothing is sent on once the wait is over. Bytes behind a req, or a long body held back, hid the
 * leaving.
 */
class ClientDisconnectTest extends RawConnection {
  /**
   * For a connection that comes up late; a free one; between two dispatches; asked servers; the
   * body.
   */
  enum Wait {
    LATE,
    FREE,
    BETWEEN,
    ASKED,
    BODY
  }

  /**
   * What the client has sent beside its req as it goes: nothing, a req, much; its body, part or
   * whole.
   */
  enum With {
    NOTHING,
    BEHIND,
    FLOOD,
    PART,
    WHOLE
  }

  private static final int FLOOD = 300_000, LONG = 200_000, HUGE = 1_700_000;

  private ServerSocket door;
  private Socket held;

  static Stream<Arguments> ways() {
    return Arrays.stream(Wait.values())
        .flatMap(
            wait ->
                Arrays.stream(With.values())
                    .filter(with -> wait != Wait.BODY || with == With.NOTHING || with == With.PART)
                    .flatMap(
                        with ->
                            Stream.of(false, true).map(reset -> Arguments.of(wait, with, reset))));
  }

  @ParameterizedTest(name = "{0}, with {1}, reset {2}")
  @MethodSource("ways")
  void leaves(Wait wait, With with, boolean reset) throws Exception {
    door = door(1);
    String config =
        configFor(entry("s0", "SERVING", door.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000")
            .replace(":1500000", ":90000000")
            .replace(":1000000,\"group", ":90000000,\"group");
    serve(
        wait == Wait.ASKED ? probing(config) : config,
        ""); // for a thirtieth of the response target
    Socket other = wait == Wait.FREE ? connect() : null;
    if (other != null) {
      send(other, request("pay")); // nothing calls it off
      held = take(door);
      read(held);
    }
    if (wait == Wait.LATE || wait == Wait.FREE) {
      fill(door);
    }
    Socket client = connect();
    String text = request("buy");
    byte[] bytes =
        (with == With.PART || with == With.WHOLE || wait == Wait.BODY
                ? text.replace(
                    "Content-Length: 2\r\n\r\nhi", "Content-Length: " + LONG + "\r\n\r\n")
                : text)
            .getBytes();
    client.getOutputStream().write(bytes);
    int more =
        switch (with) {
          case NOTHING -> wait == Wait.BODY ? 10 : 0;
          case BEHIND -> text.length();
          case FLOOD -> FLOOD;
          case PART -> LONG / 2;
          case WHOLE -> LONG;
        };
    client.getOutputStream().write(with == With.BEHIND ? text.getBytes() : new byte[more]);
    if (wait != Wait.BODY || with == With.PART) {
      until("in flight", () -> figure("in_flight") == (other == null ? 1 : 2));
    }
    waitOn(wait, with);
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
    until("the client is seen to leave", () -> figure("in_flight") == (other == null ? 0 : 1));
    goOn(wait);
    if (other != null) {
      assertEquals("200 first", answer(other));
      other.close();
    }
    String after = request("buy");
    while (!call(after).equals("200 played")) { // its backend counts as silent for a while
      after = request("buy");
    }
    assertFalse(had.contains(id(text)), had + " after " + id(text));
  }

  /** What has to be held is held until the client has left. */
  private void waitOn(Wait wait, With with) throws IOException, InterruptedException {
    if (wait == Wait.BETWEEN) {
      held = take(door);
      if (with != With.PART && with != With.WHOLE) {
        read(held); // else its body has not all been asked for
      }
      ServerSocket second = door(1);
      fill(second);
      news.add(told(2, false, entry("s1", "SERVING", second.getLocalPort())));
      until("a second backend is known", () -> figure("backends_known") == 2);
      answer(held, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
      play(door);
      door = second;
    } else if (wait == Wait.ASKED || wait == Wait.BODY && with == With.PART) {
      held = take(door);
    }
  }

  private void goOn(Wait wait) throws IOException {
    play(door);
    if (wait == Wait.FREE) {
      answer(held, "200", "", "first");
    }
    if (held != null && wait != Wait.BETWEEN) {
      start(() -> play(held));
    }
  }

  /**
   * What an attempt waits for: its connection, the first, second or third time, or as a second
   * copy.
   */
  enum Attempt {
    FIRST,
    SECOND,
    THIRD,
    COPY,
    ON_FREE,
    ASKED
  }

  /**
   * How a client goes, or that it stays: then the same attempt is made, so that the test can fail.
   */
  enum Goes {
    FIN,
    RST,
    HALF_CLOSED,
    STAYS
  }

  private static final int TENTH = 100, LATE_DIAL = 1500;

  static Stream<Arguments> attempts() {
    return Arrays.stream(Attempt.values())
        .flatMap(
            attempt ->
                Arrays.stream(Goes.values())
                    .filter(goes -> attempt.ordinal() < 2 || goes == Goes.FIN || goes == Goes.STAYS)
                    .map(goes -> Arguments.of(attempt, goes)));
  }

  /**
   * A tenth of a second after the client has gone the wait ends: no attempt begins, first or
   * further.
   */
  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("attempts")
  void goneATenthBefore(Attempt attempt, Goes goes) throws Exception {
    door = door(1);
    serve(configWithLongTimes(attempt), "");
    Socket other = attempt == Attempt.ON_FREE ? connect() : null;
    if (other != null) {
      send(other, request("pay")); // nothing calls it off
      held = take(door);
      read(held);
    }
    if (attempt == Attempt.FIRST || attempt == Attempt.ON_FREE) {
      fill(door);
    }
    Socket client = connect();
    String text = request("buy");
    send(client, text);
    until("in flight", () -> figure("in_flight") == (other == null ? 1 : 2));
    switch (attempt) {
      case SECOND -> door = turnedAway(true);
      case THIRD -> {
        ServerSocket second = turnedAway(false);
        Socket two = take(second);
        read(two);
        fill(door);
        answer(two, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
        until("two attempts", () -> figure("attempts") == 2);
        Thread.sleep(TENTH);
      }
      case COPY, ASKED -> held = take(door);
      default -> {}
    }
    if (attempt == Attempt.COPY) {
      read(held);
      door = another(true);
      Thread.sleep(1200); // past five sixths of the target: a copy waits there
    }
    leave(client, goes);
    Thread.sleep(TENTH);
    play(door);
    if (attempt == Attempt.ON_FREE) {
      answer(held, "200", "", "first");
    }
    if (attempt == Attempt.ON_FREE || attempt == Attempt.ASKED) {
      start(() -> play(held));
    }
    if (goes == Goes.STAYS) {
      until("sent on", () -> had.contains(id(text)));
    } else {
      Thread.sleep(LATE_DIAL); // a connection that comes up late is tried again in 1 s
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    }
    client.close();
  }

  private String configWithLongTimes(Attempt attempt) throws IOException {
    String config =
        configFor(entry("s0", "SERVING", door.getLocalPort()))
            .replace("\"dialTimeout\":250000", "\"dialTimeout\":9000000")
            .replace(":1500000", ":90000000");
    return switch (attempt) {
      case COPY -> config.replace("\"mayCancel\"", "\"mayDuplicate\":true,\"mayCancel\"");
      case ASKED -> probing(config.replace(":1000000,\"group", ":90000000,\"group"));
      default -> config.replace(":1000000,\"group", ":90000000,\"group");
    };
  }

  private static String probing(String config) {
    return config
        .replace("\"maxDispatches\"", "\"probing\":true,\"maxDispatches\"")
        .replace(
            "{\"balancers\"",
            "{\"report\":{\"how\":\"probe\",\"fields\":[\"rif\",\"q\"]}," + "\"balancers\"");
  }

  /** A second backend that has its door full, or takes who comes. */
  private ServerSocket another(boolean full) throws Exception {
    ServerSocket second = door(full ? 1 : BACKLOG);
    if (full) {
      fill(second);
    }
    news.add(told(2, false, entry("s1", "SERVING", second.getLocalPort())));
    until("a second backend is known", () -> figure("backends_known") == 2);
    return second;
  }

  /** The first attempt has come, and is turned away once there is another backend to go to. */
  private ServerSocket turnedAway(boolean full) throws Exception {
    held = take(door);
    read(held);
    ServerSocket second = another(full);
    answer(held, "503", "Not-Started: 1\r\nConnection: close\r\n", "");
    return second;
  }

  private static void leave(Socket client, Goes how) throws IOException {
    switch (how) {
      case FIN -> client.close();
      case RST -> {
        client.setSoLinger(true, 0);
        client.close();
      }
      case HALF_CLOSED -> client.shutdownOutput();
      default -> {}
    }
  }

  /**
   * Two hundred clients leave in one burst, fifty stay: the backend gets those of the fifty alone.
   */
  @Test
  void burst() throws Exception {
    door = door(1);
    serve(configWithLongTimes(Attempt.FIRST), "");
    fill(door);
    List<Socket> leavers = new ArrayList<>();
    Set<String> gone = new HashSet<>(), stay = new HashSet<>();
    for (int i = 0; i < 250; i++) {
      Socket client = connect();
      String text = request("buy");
      send(client, text);
      if (i % 5 == 0) {
        stay.add(id(text));
      } else {
        leavers.add(client);
        gone.add(id(text));
      }
    }
    until("in flight", () -> figure("in_flight") > 0);
    for (Socket client : leavers) {
      leave(client, leavers.indexOf(client) % 2 == 0 ? Goes.FIN : Goes.RST);
    }
    Thread.sleep(TENTH);
    play(door);
    until("one that stayed is sent on", () -> had.stream().anyMatch(stay::contains));
    Thread.sleep(LATE_DIAL);
    assertEquals(Set.of(), had.stream().filter(gone::contains).collect(Collectors.toSet()));
  }

  /** More of a body than is read ahead hides the leaving: it is sent on, and never whole. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void neverWhole(boolean goes) throws Exception {
    door = door(1);
    serve(configWithLongTimes(Attempt.FIRST), "");
    fill(door);
    Socket client = connect();
    String text =
        request("buy")
            .replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + HUGE + "\r\n\r\n");
    send(client, text);
    Thread writer = start(() -> client.getOutputStream().write(new byte[HUGE]));
    until("in flight", () -> figure("in_flight") == 1);
    if (goes) {
      writer.join(SOON);
      client.close();
    }
    Thread.sleep(TENTH);
    play(door);
    if (goes) {
      Thread.sleep(LATE_DIAL);
      assertFalse(had.contains(id(text)), had + " after " + id(text));
    } else {
      until("it is had whole", () -> had.contains(id(text)));
    }
  }
}
