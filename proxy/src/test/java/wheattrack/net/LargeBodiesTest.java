package wheattrack.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/** Bodies and answers longer than what is kept, and peers that are slow, stall or leave. */
class LargeBodiesTest extends ProxyTestHarness {
  private static final int CONCURRENT_CLIENTS = 40;
  private static final int MEGABYTE = 1 << 20;

  /** By id: the body's length and sum as a backend got it. */
  private final Map<String, String> receivedBodies = new ConcurrentHashMap<>();

  private final AtomicInteger breakingAttempts = new AtomicInteger();

  private static byte[] randomBytes(int seed, int size) {
    byte[] bytes = new byte[size];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  private static String checksum(byte[] part, int times) {
    CRC32 crc = new CRC32();
    for (int i = 0; i < times; i++) {
      crc.update(part);
    }
    return (long) part.length * times + "/" + crc.getValue();
  }

  private static String readChecksum(InputStream in, long length) throws IOException {
    CRC32 crc = new CRC32();
    byte[] buffer = new byte[1 << 16];
    long remaining = length;
    for (int n = 0; remaining > 0 && n >= 0; remaining -= Math.max(0, n)) {
      n = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
      crc.update(buffer, 0, Math.max(0, n));
    }
    return length - remaining + "/" + crc.getValue();
  }

  /** Takes bodies of any length; the target says what it answers: so many bytes, and how. */
  private void serveLargeBodies(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (String head = head(in); head != null; head = head(in)) {
      String[] target = head.split(" ")[1].split("[?,]");
      String behaviour = target.length > 1 ? target[1] : "";
      String id = head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
      came.incrementAndGet();
      if (behaviour.equals("early")) {
        send(socket, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        Thread.sleep(300);
        socket.close();
        return;
      }
      if (behaviour.equals("breaks") && breakingAttempts.getAndIncrement() == 0) {
        socket.close();
        return;
      }
      receivedBodies.merge(id, readChecksum(in, length(head)), (a, b) -> a + " and " + b);
      int size = target.length > 2 ? Integer.parseInt(target[2]) : 0;
      byte[] part = randomBytes(size, Math.min(size, MEGABYTE));
      if (behaviour.equals("chunks") || behaviour.equals("drips")) {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int at = 0, n; at < size; at += n) {
          n = Math.min(size - at, behaviour.equals("drips") ? 10_000 : 65_000);
          send(socket, Integer.toHexString(n) + ";x=1\r\n");
          out.write(part, at, n);
          send(socket, "\r\n");
          Thread.sleep(behaviour.equals("drips") ? 200 : 0);
        }
        send(socket, "0\r\nT: 1\r\n\r\n");
      } else if (behaviour.equals("end")) {
        send(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        out.write(part);
        socket.close();
        return;
      } else {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
        for (int at = 0; at < size; at += part.length) {
          out.write(part);
          if (behaviour.equals("cut")) {
            socket.close();
            return;
          }
        }
      }
    }
  }

  private void startWithBackends(int backends) throws Exception {
    String[] entries = new String[backends];
    for (int i = 0; i < backends; i++) {
      entries[i] = entry("s" + i, "SERVING", open(this::serveLargeBodies).getLocalPort());
    }
    news.add(told(1, true, entries));
    serve(1024, "{}");
  }

  private static String requestHead(String set, String behaviour, String id, long length) {
    return "POST /"
        + set
        + "?"
        + behaviour
        + " HTTP/1.1\r\nRequest-Id: "
        + id
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  /** The answer's status and the sum of its body, in whatever framing. */
  private static String responseChecksum(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    String head = head(in);
    if (head == null) {
      return "closed";
    }
    String status = head.substring(9, 12) + " ";
    if (!head.contains("chunked")) {
      String sum = readChecksum(in, length(head));
      return status + (sum.startsWith(length(head) + "/") ? sum : "cut off");
    }
    CRC32 crc = new CRC32();
    long size = 0;
    while (true) {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          return status + "cut off";
        }
        line.append((char) c);
      }
      int n = Integer.parseInt(line.toString().strip(), 16);
      byte[] bytes = in.readNBytes(n + 2);
      if (n == 0) {
        return status + size + "/" + crc.getValue();
      }
      crc.update(bytes, 0, Math.min(n, bytes.length));
      size += n;
    }
  }

  /**
   * 40 bodies of 32 MB at once, there and back, with the heap of this JVM far smaller than they
   * are.
   */
  @Test
  void manyConcurrentBodies() throws Exception {
    startWithBackends(4);
    byte[] part = randomBytes(1, MEGABYTE);
    String sum = checksum(part, 32);
    String back = checksum(randomBytes(32 * MEGABYTE, MEGABYTE), 32);
    List<Thread> clients = new ArrayList<>();
    AtomicInteger correctResponses = new AtomicInteger();
    for (int i = 0; i < CONCURRENT_CLIENTS; i++) {
      String id = "a" + i;
      clients.add(
          start(
              () -> {
                try (Socket socket = connect()) {
                  socket.setSoTimeout(60_000);
                  send(socket, requestHead("buy", "plain," + 32 * MEGABYTE, id, 32L * MEGABYTE));
                  for (int n = 0; n < 32; n++) {
                    socket.getOutputStream().write(part);
                  }
                  String answer = responseChecksum(socket);
                  if (answer.equals("200 " + back) && sum.equals(receivedBodies.get(id))) {
                    correctResponses.incrementAndGet();
                  }
                }
              }));
    }
    for (Thread client : clients) {
      client.join(90_000);
    }
    assertEquals(CONCURRENT_CLIENTS, correctResponses.get());
  }

  /** Each framing and each way to fail: what the client is told, and what ran. */
  @Test
  void framingsAndFailures() throws Exception {
    startWithBackends(3);
    byte[] body = randomBytes(2, 300_000);
    for (String behaviour :
        new String[] {
          "plain,0",
          "plain,200000",
          "chunks,200000",
          "end,200000",
          "end,20",
          "drips,60000",
          "cut,3000000",
          "breaks,0",
          "early,0"
        }) {
      for (String set : new String[] {"buy", "pay"}) {
        breakingAttempts.set(0);
        int before = came.get();
        String id = (behaviour + set).replaceAll("\\W", "");
        int times = behaviour.startsWith("breaks") ? 50 : 1; // more than lies between two sockets
        try (Socket socket = connect()) {
          send(socket, requestHead(set, behaviour, id, (long) times * body.length));
          for (int i = 0; i < times; i++) {
            socket.getOutputStream().write(body);
          }
          String answer;
          try {
            answer = responseChecksum(socket);
          } catch (IOException e) {
            answer = "reset";
          }
          int size = Integer.parseInt(behaviour.split(",")[1]);
          boolean same =
              answer.equals("200 " + checksum(randomBytes(size, Math.min(size, MEGABYTE)), 1));
          boolean once = checksum(body, 1).equals(receivedBodies.get(id));
          String outcome = same ? "200 as sent" : answer.replaceAll("(?s)/.*", "");
          if (behaviour.startsWith("breaks")) { // a piece beyond what is kept may have gone by then
            outcome = outcome.matches("200 as sent|503 0") ? "done or denied" : outcome;
            receivedBodies.remove(id);
          }
          w.say(
              behaviour
                  + " to "
                  + set
                  + ": "
                  + outcome
                  + (once
                      ? ", body whole, once"
                      : ", body " + receivedBodies.getOrDefault(id, "none")));
        }
        assertTrue(came.get() - before <= 3, behaviour);
      }
    }
    w.matches("long-ways");
  }

  /** Taking 2 s for a head and a second for 64 kB of a body is served; one that stalls is not. */
  @Test
  void slowClients() throws Exception {
    startWithBackends(2);
    byte[] body = randomBytes(3, 160_000);
    try (Socket slow = connect();
        Socket stalls = connect()) {
      send(stalls, requestHead("buy", "plain,5", "b1", 90_000) + "x".repeat(30_000));
      long from = System.nanoTime();
      String head = requestHead("buy", "plain,100000", "b2", body.length);
      for (int i = 0; i < 20; i++) {
        send(slow, head.substring(head.length() * i / 20, head.length() * (i + 1) / 20));
        Thread.sleep(100);
      }
      for (int at = 0; at < body.length; at += 6400) {
        slow.getOutputStream().write(body, at, 6400);
        Thread.sleep(100);
      }
      w.say(
          "slow: "
              + responseChecksum(slow).equals("200 " + checksum(randomBytes(100_000, 100_000), 1))
              + ", body "
              + checksum(body, 1).equals(receivedBodies.get("b2")));
      w.say(
          "stalls: "
              + responseChecksum(stalls).substring(0, 3)
              + ", in time "
              + ((System.nanoTime() - from) / 1_000_000_000 < 6)
              + ", ran "
              + receivedBodies.getOrDefault("b1", "").startsWith("90000/"));
    }
    try (Socket expects = connect()) {
      send(
          expects,
          requestHead("pay", "plain,3", "b3", 70_000)
              .replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n"));
      w.say("expects: " + answer(expects));
      expects.getOutputStream().write(randomBytes(4, 70_000));
      w.say(
          "then: "
              + responseChecksum(expects).substring(0, 5)
              + " "
              + receivedBodies.get("b3").startsWith("70000/"));
    }
    w.matches("long-slow");
  }

  /** Clients of any pace that leave at any moment: each body that came whole ran once. */
  @Test
  void clientsThatDisconnect() throws Exception {
    startWithBackends(3);
    Random random = new Random(5);
    List<Thread> clients = new ArrayList<>();
    Map<String, Boolean> intactResponses = new ConcurrentHashMap<>();
    for (int i = 0; i < 60; i++) {
      String id = "c" + i;
      byte[] body = randomBytes(i, 65_537 + random.nextInt(2 * MEGABYTE));
      int sentBytes = random.nextInt(3) == 0 ? random.nextInt(body.length) : body.length;
      int readBytes = random.nextInt(3) == 0 ? random.nextInt(MEGABYTE) : Integer.MAX_VALUE;
      boolean hasKey = random.nextBoolean();
      clients.add(
          start(
              () -> {
                try (Socket socket = connect()) {
                  send(
                      socket,
                      requestHead(
                          hasKey ? "mark" : "pay", "plain," + 2 * MEGABYTE, id, body.length));
                  socket.getOutputStream().write(body, 0, sentBytes);
                  if (sentBytes == body.length && readBytes == Integer.MAX_VALUE) {
                    intactResponses.put(
                        id,
                        responseChecksum(socket)
                            .equals("200 " + checksum(randomBytes(2 * MEGABYTE, MEGABYTE), 2)));
                  } else if (sentBytes == body.length) {
                    socket.getInputStream().readNBytes(readBytes);
                  }
                }
              }));
    }
    for (Thread client : clients) {
      client.join(20_000);
    }
    assertTrue(
        intactResponses.size() > 10 && !intactResponses.containsValue(false),
        intactResponses.toString());
    intactResponses
        .keySet()
        .forEach(
            id ->
                assertTrue(
                    !receivedBodies.get(id).contains("and"), id + " " + receivedBodies.get(id)));
    for (int i = 0; i < 100 && !server.isIdle(); i++) {
      Thread.sleep(50);
    }
    assertTrue(server.isIdle(), "reqs or clients are left over");
    assertEquals("200", call(requestHead("buy", "plain,0", "last", 0)).strip());
  }
}
