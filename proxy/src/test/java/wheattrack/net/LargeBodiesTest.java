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
  private static final int MANY = 40, MB = 1 << 20;

  /** By id: the body's length and sum as a backend got it. */
  private final Map<String, String> got = new ConcurrentHashMap<>();

  private final AtomicInteger turn = new AtomicInteger();

  private static byte[] bytes(int seed, int size) {
    byte[] bytes = new byte[size];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  private static String sum(byte[] part, int times) {
    CRC32 crc = new CRC32();
    for (int i = 0; i < times; i++) {
      crc.update(part);
    }
    return (long) part.length * times + "/" + crc.getValue();
  }

  private static String readSum(InputStream in, long length) throws IOException {
    CRC32 crc = new CRC32();
    byte[] room = new byte[1 << 16];
    long left = length;
    for (int n = 0; left > 0 && n >= 0; left -= Math.max(0, n)) {
      n = in.read(room, 0, (int) Math.min(room.length, left));
      crc.update(room, 0, Math.max(0, n));
    }
    return length - left + "/" + crc.getValue();
  }

  /** Takes bodies of any length; the target says what it answers: so many bytes, and how. */
  private void longBackend(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (String head = head(in); head != null; head = head(in)) {
      String[] target = head.split(" ")[1].split("[?,]");
      String how = target.length > 1 ? target[1] : "";
      String id = head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
      came.incrementAndGet();
      if (how.equals("early")) {
        send(socket, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        Thread.sleep(300);
        socket.close();
        return;
      }
      if (how.equals("breaks") && turn.getAndIncrement() == 0) {
        socket.close();
        return;
      }
      got.merge(id, readSum(in, length(head)), (a, b) -> a + " and " + b);
      int size = target.length > 2 ? Integer.parseInt(target[2]) : 0;
      byte[] part = bytes(size, Math.min(size, MB));
      if (how.equals("chunks") || how.equals("drips")) {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int at = 0, n; at < size; at += n) {
          n = Math.min(size - at, how.equals("drips") ? 10_000 : 65_000);
          send(socket, Integer.toHexString(n) + ";x=1\r\n");
          out.write(part, at, n);
          send(socket, "\r\n");
          Thread.sleep(how.equals("drips") ? 200 : 0);
        }
        send(socket, "0\r\nT: 1\r\n\r\n");
      } else if (how.equals("end")) {
        send(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        out.write(part);
        socket.close();
        return;
      } else {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
        for (int at = 0; at < size; at += part.length) {
          out.write(part);
          if (how.equals("cut")) {
            socket.close();
            return;
          }
        }
      }
    }
  }

  private void serveLong(int backends) throws Exception {
    String[] entries = new String[backends];
    for (int i = 0; i < backends; i++) {
      entries[i] = entry("s" + i, "SERVING", open(this::longBackend).getLocalPort());
    }
    news.add(told(1, true, entries));
    serve(1024, "{}");
  }

  private static String head(String set, String how, String id, long length) {
    return "POST /"
        + set
        + "?"
        + how
        + " HTTP/1.1\r\nRequest-Id: "
        + id
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  /** The answer's status and the sum of its body, in whatever framing. */
  private static String answerSum(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    String head = head(in);
    if (head == null) {
      return "closed";
    }
    String status = head.substring(9, 12) + " ";
    if (!head.contains("chunked")) {
      String sum = readSum(in, length(head));
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
  void manyAtOnce() throws Exception {
    serveLong(4);
    byte[] part = bytes(1, MB);
    String sum = sum(part, 32), back = sum(bytes(32 * MB, MB), 32);
    List<Thread> clients = new ArrayList<>();
    AtomicInteger right = new AtomicInteger();
    for (int i = 0; i < MANY; i++) {
      String id = "a" + i;
      clients.add(
          start(
              () -> {
                try (Socket socket = connect()) {
                  socket.setSoTimeout(60_000);
                  send(socket, head("buy", "plain," + 32 * MB, id, 32L * MB));
                  for (int n = 0; n < 32; n++) {
                    socket.getOutputStream().write(part);
                  }
                  String answer = answerSum(socket);
                  if (answer.equals("200 " + back) && sum.equals(got.get(id))) {
                    right.incrementAndGet();
                  }
                }
              }));
    }
    for (Thread client : clients) {
      client.join(90_000);
    }
    assertEquals(MANY, right.get());
  }

  /** Each framing and each way to fail: what the client is told, and what ran. */
  @Test
  void ways() throws Exception {
    serveLong(3);
    byte[] body = bytes(2, 300_000);
    for (String how :
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
        turn.set(0);
        int before = came.get();
        String id = (how + set).replaceAll("\\W", "");
        int times = how.startsWith("breaks") ? 50 : 1; // more than lies between two sockets
        try (Socket socket = connect()) {
          send(socket, head(set, how, id, (long) times * body.length));
          for (int i = 0; i < times; i++) {
            socket.getOutputStream().write(body);
          }
          String answer;
          try {
            answer = answerSum(socket);
          } catch (IOException e) {
            answer = "reset";
          }
          int size = Integer.parseInt(how.split(",")[1]);
          boolean same = answer.equals("200 " + sum(bytes(size, Math.min(size, MB)), 1));
          boolean once = sum(body, 1).equals(got.get(id));
          String told = same ? "200 as sent" : answer.replaceAll("(?s)/.*", "");
          if (how.startsWith("breaks")) { // a piece beyond what is kept may have gone by then
            told = told.matches("200 as sent|503 0") ? "done or denied" : told;
            got.remove(id);
          }
          w.say(
              how
                  + " to "
                  + set
                  + ": "
                  + told
                  + (once ? ", body whole, once" : ", body " + got.getOrDefault(id, "none")));
        }
        assertTrue(came.get() - before <= 3, how);
      }
    }
    w.matches("long-ways");
  }

  /** Taking 2 s for a head and a second for 64 kB of a body is served; one that stalls is not. */
  @Test
  void slowClients() throws Exception {
    serveLong(2);
    byte[] body = bytes(3, 160_000);
    try (Socket slow = connect();
        Socket stalls = connect()) {
      send(stalls, head("buy", "plain,5", "b1", 90_000) + "x".repeat(30_000));
      long from = System.nanoTime();
      String head = head("buy", "plain,100000", "b2", body.length);
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
              + answerSum(slow).equals("200 " + sum(bytes(100_000, 100_000), 1))
              + ", body "
              + sum(body, 1).equals(got.get("b2")));
      w.say(
          "stalls: "
              + answerSum(stalls).substring(0, 3)
              + ", in time "
              + ((System.nanoTime() - from) / 1_000_000_000 < 6)
              + ", ran "
              + got.getOrDefault("b1", "").startsWith("90000/"));
    }
    try (Socket expects = connect()) {
      send(
          expects,
          head("pay", "plain,3", "b3", 70_000)
              .replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n"));
      w.say("expects: " + answer(expects));
      expects.getOutputStream().write(bytes(4, 70_000));
      w.say(
          "then: " + answerSum(expects).substring(0, 5) + " " + got.get("b3").startsWith("70000/"));
    }
    w.matches("long-slow");
  }

  /** Clients of any pace that leave at any moment: each body that came whole ran once. */
  @Test
  void leavers() throws Exception {
    serveLong(3);
    Random draws = new Random(5);
    List<Thread> clients = new ArrayList<>();
    Map<String, Boolean> whole = new ConcurrentHashMap<>();
    for (int i = 0; i < 60; i++) {
      String id = "c" + i;
      byte[] body = bytes(i, 65_537 + draws.nextInt(2 * MB));
      int until = draws.nextInt(3) == 0 ? draws.nextInt(body.length) : body.length;
      int reads = draws.nextInt(3) == 0 ? draws.nextInt(MB) : Integer.MAX_VALUE;
      boolean uniqued = draws.nextBoolean();
      clients.add(
          start(
              () -> {
                try (Socket socket = connect()) {
                  send(socket, head(uniqued ? "mark" : "pay", "plain," + 2 * MB, id, body.length));
                  socket.getOutputStream().write(body, 0, until);
                  if (until == body.length && reads == Integer.MAX_VALUE) {
                    whole.put(id, answerSum(socket).equals("200 " + sum(bytes(2 * MB, MB), 2)));
                  } else if (until == body.length) {
                    socket.getInputStream().readNBytes(reads);
                  }
                }
              }));
    }
    for (Thread client : clients) {
      client.join(20_000);
    }
    assertTrue(whole.size() > 10 && !whole.containsValue(false), whole.toString());
    whole.keySet().forEach(id -> assertTrue(!got.get(id).contains("and"), id + " " + got.get(id)));
    for (int i = 0; i < 100 && !server.isIdle(); i++) {
      Thread.sleep(50);
    }
    assertTrue(server.isIdle(), "reqs or clients are left over");
    assertEquals("200", call(head("buy", "plain,0", "last", 0)).strip());
  }
}
