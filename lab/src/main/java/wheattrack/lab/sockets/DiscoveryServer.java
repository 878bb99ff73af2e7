package wheattrack.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.StringJoiner;
import wheattrack.aio.TcpConnection;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.RequestDecoder;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.State;

/**
 * The list on sockets, in the proxies' own form: an address a proxy, so that it knows whom it
 * tells.
 */
final class DiscoveryServer extends EndpointRegistry {
  private static final long BEAT = 20_000;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";

  private final SocketRun sockets;
  private final List<BackendServer> servers;
  private final AsynchronousServerSocketChannel[] doors;
  private final Set<Watcher> watchers = new LinkedHashSet<>();
  private final RandomStream draws;
  private long rev = 1;

  DiscoveryServer(SocketRun sockets, List<BackendServer> servers) throws IOException {
    super(sockets);
    this.sockets = sockets;
    this.servers = servers;
    draws = sockets.draws("list");
    doors = new AsynchronousServerSocketChannel[sockets.scenario.proxies];
    for (int p = 0; p < doors.length; p++) {
      doors[p] = AsynchronousServerSocketChannel.open(sockets.group).bind(SocketRun.any());
      accept(p);
    }
  }

  int port(int proxy) {
    try {
      return ((InetSocketAddress) doors[proxy].getLocalAddress()).getPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void accept(int proxy) {
    doors[proxy].accept(
        null,
        sockets.loop.handler(
            one -> {
              new Watcher(one, proxy).open();
              accept(proxy);
            },
            why -> {
              if (doors[proxy].isOpen()) {
                sockets.after(100, () -> accept(proxy));
              }
            }));
  }

  @Override
  protected void tellAll(News news) {
    rev++;
    watchers.forEach(w -> w.tellLater(news));
  }

  /**
   * Open watches stay open and silent, new ones are not answered: so a machine that is cut off
   * looks.
   */
  @Override
  protected void breakOff() {
    // silence is all there is
  }

  private String line(int proxy, List<News> entries, boolean all) {
    StringJoiner targets = new StringJoiner(",");
    for (News n : entries) {
      SimulatedBackend m = sockets.machine(n.server());
      targets.add(
          String.format(
              Locale.ROOT,
              "{\"uid\":\"s-%x\",\"endpoint\":\"127.0.0.1:%d\","
                  + "\"az\":\"z%d\",\"model\":\"%s\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%s,"
                  + "\"boot_ms\":%.1f}",
              n.server() + 1,
              servers.get(n.server()).port(proxy),
              m.zone,
              m.kind.kind(),
              n.server() / 4,
              word(n.state()),
              m.kind.cores() * m.kind.speed(),
              n.start() == LONG_AGO ? 0 : sockets.unixMillis(n.start())));
    }
    return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + targets + "]}\n";
  }

  private static String word(State state) {
    return switch (state) {
      case READY -> "SERVING";
      case DRAINING -> "DRAINING";
      case GONE -> "DELETED";
    };
  }

  /** One watch of one proxy. */
  private final class Watcher extends TcpConnection {
    private final RequestDecoder in = new RequestDecoder();
    private final int proxy;
    private final Set<Integer> named = new LinkedHashSet<>();
    private long lastAt = Long.MIN_VALUE;

    Watcher(AsynchronousSocketChannel channel, int proxy) {
      super(sockets.loop, channel);
      this.proxy = proxy;
    }

    void open() {
      read(in.writableBuffer());
    }

    @Override
    protected void onRead(int n) {
      if (n < 0) {
        close();
        return;
      }
      try {
        if (in.next() != null && !down) {
          watchers.add(this);
          write(bytes(HEAD));
          tell(null);
          beat();
        }
        read(in.writableBuffer());
      } catch (MalformedMessageException e) {
        close();
      }
    }

    private void beat() {
      sockets.after(
          BEAT,
          () -> {
            if (!isClosed()) {
              if (!down) {
                chunk("\n");
              }
              beat();
            }
          });
    }

    void tellLater(News news) {
      long at =
          Math.max(
              lastAt,
              sockets.now()
                  + Math.round(sockets.scenario.roster.delay() * (0.5 + draws.uniform())));
      lastAt = at;
      sockets.after(
          at - sockets.now(),
          () -> {
            if (!isClosed() && !down) {
              tell(news);
            }
          });
    }

    private void tell(News news) {
      List<News> entries = news == null ? all() : List.of(news);
      if (news == null) {
        Set<Integer> left = new LinkedHashSet<>(named);
        entries.forEach(e -> left.remove(e.server()));
        left.forEach(s -> said(new News(s, State.GONE, 0)));
      }
      chunk(line(proxy, entries, news == null));
      entries.forEach(this::said);
    }

    private void said(News n) {
      if (n.state() == State.GONE) {
        named.remove(n.server());
      } else {
        named.add(n.server());
      }
      sockets.say(
          LedgerRecord.endpointNotified(sockets.now(), proxy, n.server(), n.state(), n.start()));
    }

    private void chunk(String text) {
      int n = text.getBytes(StandardCharsets.UTF_8).length;
      write(bytes(Integer.toHexString(n) + "\r\n" + text + "\r\n"));
    }

    private ByteBuffer bytes(String text) {
      return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    protected void onWritten(boolean whole) {
      if (!whole) {
        close();
      }
    }

    @Override
    public void close() {
      super.close();
      watchers.remove(this);
    }
  }
}
