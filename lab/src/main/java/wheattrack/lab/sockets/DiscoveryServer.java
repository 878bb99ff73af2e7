package wheattrack.lab.sockets;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.StringJoiner;
import wheattrack.aio.TcpConnection;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.RequestDecoder;
import wheattrack.lab.model.EndpointRegistry;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Scenario;

/**
 * The endpoint list on sockets, in the proxies' discovery protocol. It listens on one port for each
 * proxy, which identifies the watcher. Runs on the run's thread only.
 */
final class DiscoveryServer extends EndpointRegistry {
  /** Time between two empty lines on a watch, in tenths of a millisecond. */
  private static final long HEARTBEAT_INTERVAL = 20_000;

  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String ENTRY_FORMAT =
      "{\"uid\":\"s-%x\",\"endpoint\":\"127.0.0.1:%d\","
          + "\"az\":\"z%d\",\"model\":\"%s\",\"pod_group\":%d,\"state\":\"%s\","
          + "\"capacity_hint\":%s,\"boot_ms\":%.1f}";

  private final SocketRun run;
  private final List<BackendServer> backendServers;
  private final List<LoopbackListener> listeners = new ArrayList<>();
  private final Set<Watcher> watchers = new LinkedHashSet<>();
  private long revision = 1;

  DiscoveryServer(SocketRun run, List<BackendServer> backendServers) {
    super(run);
    this.run = run;
    this.backendServers = backendServers;
    for (int index = 0; index < run.scenario().proxyCount(); index++) {
      int proxy = index;
      listeners.add(
          new LoopbackListener(
              run,
              LoopbackListener.ANY_PORT,
              LoopbackListener.DEFAULT_BACKLOG,
              channel -> new Watcher(channel, proxy).open()));
    }
  }

  /** The port on which this proxy watches the list. */
  int port(int proxy) {
    return listeners.get(proxy).port();
  }

  @Override
  protected void publishChange(EndpointEvent event) {
    revision++;
    watchers.forEach(watcher -> watcher.deliverLater(() -> watcher.sendChange(event)));
  }

  @Override
  protected void publishSnapshot() {
    revision++;
    watchers.forEach(watcher -> watcher.deliverLater(watcher::sendSnapshot));
  }

  /**
   * Leaves open watches open without sending on them; new watches are not answered. This is what
   * the proxies see of a server that has lost its network.
   */
  @Override
  protected void interruptWatches() {
    // nothing is sent on a watch while the list is down
  }

  private String line(int proxy, List<EndpointEvent> events, boolean complete) {
    StringJoiner entries = new StringJoiner(",");
    events.forEach(event -> entries.add(entry(proxy, event)));
    return "{\"rev\":" + revision + ",\"all\":" + complete + ",\"targets\":[" + entries + "]}\n";
  }

  private String entry(int proxy, EndpointEvent event) {
    SimulatedBackend backend = run.backend(event.backend());
    return String.format(
        Locale.ROOT,
        ENTRY_FORMAT,
        event.backend() + 1,
        backendServers.get(event.backend()).port(proxy),
        backend.zone(),
        backend.group().kind(),
        Scenario.cellOf(event.backend()),
        stateKeyword(event.state()),
        backend.group().cores() * backend.group().speed(),
        event.startedAt() == LONG_AGO ? 0 : run.unixMillis(event.startedAt()));
  }

  private static String stateKeyword(State state) {
    return switch (state) {
      case READY -> "SERVING";
      case DRAINING -> "DRAINING";
      case GONE -> "DELETED";
    };
  }

  /** One watch of one proxy. */
  private final class Watcher extends TcpConnection {
    private final RequestDecoder decoder = new RequestDecoder();
    private final int proxy;
    private final Set<Integer> listedBackends = new LinkedHashSet<>();
    private long lastDelivery = Long.MIN_VALUE;

    Watcher(AsynchronousSocketChannel channel, int proxy) {
      super(run.loop(), channel);
      this.proxy = proxy;
    }

    void open() {
      read(decoder.writableBuffer());
    }

    @Override
    protected void onRead(int byteCount) {
      if (byteCount < 0) {
        close();
        return;
      }
      try {
        if (decoder.next() != null && !isDown()) {
          watchers.add(this);
          write(bytes(RESPONSE_HEAD));
          sendSnapshot();
          scheduleHeartbeat();
        }
        read(decoder.writableBuffer());
      } catch (MalformedMessageException e) {
        close();
      }
    }

    private void scheduleHeartbeat() {
      run.schedule(
          HEARTBEAT_INTERVAL,
          () -> {
            if (!isClosed()) {
              if (!isDown()) {
                writeChunk("\n");
              }
              scheduleHeartbeat();
            }
          });
    }

    /** Runs a delivery after a random delay, but not before earlier deliveries. */
    void deliverLater(Runnable delivery) {
      lastDelivery = Math.max(lastDelivery, run.now() + drawDeliveryDelay());
      run.schedule(
          lastDelivery - run.now(),
          () -> {
            if (!isClosed() && !isDown()) {
              delivery.run();
            }
          });
    }

    void sendSnapshot() {
      List<EndpointEvent> events = snapshot();
      Set<Integer> unlisted = new LinkedHashSet<>(listedBackends);
      events.forEach(event -> unlisted.remove(event.backend()));
      unlisted.forEach(backend -> recordSent(new EndpointEvent(backend, State.GONE, 0)));
      send(events, true);
    }

    void sendChange(EndpointEvent event) {
      send(List.of(event), false);
    }

    private void send(List<EndpointEvent> events, boolean complete) {
      writeChunk(line(proxy, events, complete));
      events.forEach(this::recordSent);
    }

    private void recordSent(EndpointEvent event) {
      if (event.state() == State.GONE) {
        listedBackends.remove(event.backend());
      } else {
        listedBackends.add(event.backend());
      }
      run.record(
          LedgerRecord.endpointNotified(
              run.now(), proxy, event.backend(), event.state(), event.startedAt()));
    }

    private void writeChunk(String text) {
      int length = text.getBytes(StandardCharsets.UTF_8).length;
      write(bytes(Integer.toHexString(length) + "\r\n" + text + "\r\n"));
    }

    private ByteBuffer bytes(String text) {
      return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    protected void onWritten(boolean complete) {
      if (!complete) {
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
