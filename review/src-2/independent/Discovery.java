package independent;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The agent of discovery on the proxies' machine: the list of backends, and watches on it. */
final class Discovery implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 2000;
  private static final long RETIRED_AFTER_MILLIS = 1500;

  private final Rig rig;
  private final ServerSocket listener;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final List<Socket> watches = new ArrayList<>();
  private final Map<Long, String> changes = new LinkedHashMap<>();
  private long revision = 100;

  Discovery(Rig rig) throws IOException {
    this.rig = rig;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    start("discovery", this::accept);
    start("heartbeat", this::beat);
  }

  static void start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** An entry of the list. */
  static String entry(String uid, int port, String zone, int cell, String state, long bootMillis) {
    return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
        + "\",\"model\":\"moyen\",\"pod_group\":" + cell + ",\"state\":\"" + state
        + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
  }

  /** Sets an entry and tells all watches. */
  synchronized void set(String uid, String entry) {
    entries.put(uid, entry);
    revision++;
    String line = "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + entry + "]}";
    changes.put(revision, entry);
    rig.record("discovery tells " + entry);
    sendToAll(line + "\n");
  }

  private void sendToAll(String text) {
    watches.removeIf(watch -> !send(watch, text));
  }

  private static boolean send(Socket watch, String text) {
    try {
      OutputStream output = watch.getOutputStream();
      output.write(Rig.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        start("watch", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      String head = Wire.readHead(new BufferedInputStream(socket.getInputStream()));
      if (head == null) {
        return;
      }
      String target = head.split(" ")[1];
      synchronized (this) {
        String list = list();
        if (!target.contains("watch=1")) {
          socket.getOutputStream().write(Rig.bytes(
              "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
          return;
        }
        socket.getOutputStream().write(
            Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        send(socket, (target.contains("after=") ? changesAfter(target) : list) + "\n");
        watches.add(socket);
      }
    } catch (IOException e) {
      // the proxy has closed
    }
  }

  private String list() {
    return "{\"rev\":" + revision + ",\"all\":true,\"targets\":["
        + String.join(",", entries.values()) + "]}";
  }

  private String changesAfter(String target) {
    long after = Long.parseLong(target.replaceAll(".*after=([0-9]+).*", "$1"));
    List<String> newer = new ArrayList<>();
    changes.forEach((changed, entry) -> {
      if (changed > after) {
        newer.add(entry);
      }
    });
    return newer.isEmpty()
        ? ""
        : "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", newer) + "]}";
  }

  private void beat() {
    while (!listener.isClosed()) {
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        sendToAll("\n");
      }
    }
  }

  /** As a new configuration names another address: no new connections, and the open ones end. */
  void retire() throws IOException {
    listener.close();
    start("retired", () -> {
      try {
        Thread.sleep(RETIRED_AFTER_MILLIS);
        synchronized (this) {
          for (Socket watch : watches) {
            watch.close();
          }
        }
      } catch (IOException | InterruptedException e) {
        // closed either way
      }
    });
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
