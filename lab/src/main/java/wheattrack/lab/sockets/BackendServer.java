package wheattrack.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wheattrack.aio.TcpConnection;
import wheattrack.api.AttemptOutcome;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;
import wheattrack.lab.model.BackendVisit;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.scenario.Fault;

/**
 * A stand-in server on sockets: what it does is its machine's; here is HTTP. It listens once for
 * each proxy, which tells it who sends, with a relay before it where links are to be spoilt.
 */
final class BackendServer {
  private final SocketRun stage;
  private final SimulatedBackend machine;
  private final int[] ports;
  private final List<FaultyLink> relays = new ArrayList<>();
  private final List<AsynchronousServerSocketChannel> doors = new ArrayList<>();
  private final Set<Conn> conns = new LinkedHashSet<>();
  private boolean listening;

  BackendServer(SocketRun stage, SimulatedBackend machine, boolean withRelays) {
    this.stage = stage;
    this.machine = machine;
    ports = new int[stage.scenario.proxies];
    machine.onChange(this::changed);
    listen();
    for (int p = 0; withRelays && p < ports.length; p++) {
      relays.add(new FaultyLink(stage, ports[p], stage.draws("relay" + machine.place + "-" + p)));
    }
  }

  /** Where this proxy finds the server. */
  int port(int proxy) {
    return relays.isEmpty() ? ports[proxy] : relays.get(proxy).port();
  }

  /** All links to it are spoilt like this, or well again with null. */
  void link(Fault fault) {
    relays.forEach(r -> r.spoil(fault));
  }

  private void changed() {
    switch (machine.state()) {
      case DEAD -> {
        shut();
        List.copyOf(conns).forEach(Conn::reset);
      }
      case SILENT -> List.copyOf(conns).forEach(c -> c.mute = true);
      case UP -> {
        List.copyOf(conns).stream().filter(c -> c.mute).forEach(Conn::reset);
        listen();
      }
      default -> {}
    }
  }

  private void listen() {
    if (listening) {
      return;
    }
    listening = true;
    try {
      for (int p = 0; p < ports.length; p++) {
        AsynchronousServerSocketChannel door = AsynchronousServerSocketChannel.open(stage.group);
        door.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        door.bind(new InetSocketAddress(SocketRun.HOME, ports[p]), 1024);
        ports[p] = ((InetSocketAddress) door.getLocalAddress()).getPort();
        doors.add(door);
        accept(door, p);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void shut() {
    listening = false;
    for (AsynchronousServerSocketChannel door : doors) {
      try {
        door.close();
      } catch (IOException e) {
        // it is closed either way
      }
    }
    doors.clear();
  }

  private void accept(AsynchronousServerSocketChannel door, int proxy) {
    door.accept(
        null,
        stage.loop.handler(
            one -> {
              Conn conn = new Conn(one, proxy);
              conns.add(conn);
              conn.mute = machine.state() == SimulatedBackend.State.SILENT;
              conn.open();
              accept(door, proxy);
            },
            why -> {
              if (door.isOpen()) {
                stage.after(100, () -> accept(door, proxy));
              }
            }));
  }

  /** One connection from a proxy; it carries one dispatch at a time. */
  private final class Conn extends TcpConnection {
    private final RequestDecoder in = new RequestDecoder();
    private final AsynchronousSocketChannel channel;
    private final int proxy;
    private final int life = machine.epoch();
    private boolean mute, held, anew = true;
    private Runnable stop;

    Conn(AsynchronousSocketChannel channel, int proxy) {
      super(stage.loop, channel);
      this.channel = channel;
      this.proxy = proxy;
    }

    void open() {
      held = mute || machine.connects();
      if (held) {
        read(in.writableBuffer());
      } else {
        reset();
      }
    }

    @Override
    protected void onRead(int n) {
      if (n < 0) {
        Runnable stopping = stop;
        close();
        if (stopping != null) {
          stopping.run();
        }
        return;
      }
      try {
        Request r = in.next();
        if (r != null && !mute) {
          request(r);
        }
        read(in.writableBuffer());
      } catch (MalformedMessageException e) {
        close();
      }
    }

    private void request(Request r) {
      String id = r.headers().first("Request-Id");
      Long work =
          id == null || !id.matches("[0-9a-f]{1,16}")
              ? null
              : stage.open.get(Long.parseLong(id, 16));
      if (work == null || stop != null) {
        write(Encoder.response(answer(400, "no client sent this", false)));
        return;
      }
      String timeout = r.headers().first("Request-Timeout");
      long wait =
          timeout == null ? Integer.MAX_VALUE : (long) (Double.parseDouble(timeout) * 10_000);
      boolean first = anew;
      anew = false;
      machine.arrive(new Call(Long.parseLong(id, 16), work, stage.now() + wait), sentAt(), first);
    }

    private long sentAt() {
      try {
        return relays.isEmpty()
            ? stage.now()
            : relays.get(proxy).sentAt(((InetSocketAddress) channel.getRemoteAddress()).getPort());
      } catch (IOException e) {
        return stage.now();
      }
    }

    @Override
    protected void onWritten(boolean whole) {
      if (!whole) {
        close();
      }
    }

    /** Breaks it so that the other side hears of it at once. */
    void reset() {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException | RuntimeException e) {
        // closed without it
      }
      close();
    }

    @Override
    public void close() {
      if (!isClosed()) {
        super.close();
        conns.remove(this);
        if (held) {
          machine.hangsUp(life);
        }
      }
    }

    /** A dispatch on this connection. */
    private final class Call implements BackendVisit {
      private final long req, work, due;

      Call(long req, long work, long due) {
        this.req = req;
        this.work = work;
        this.due = due;
      }

      @Override
      public long req() {
        return req;
      }

      @Override
      public int proxy() {
        return proxy;
      }

      @Override
      public double work() {
        return work;
      }

      @Override
      public long due() {
        return due;
      }

      @Override
      public void stops(Runnable how) {
        stop = how;
      }

      @Override
      public void heard(AttemptOutcome how) {
        if (isClosed()) {
          return;
        }
        switch (how) {
          case DONE -> write(Encoder.response(answer(200, Long.toHexString(req), true)));
          case ERROR -> write(Encoder.response(answer(500, "failed", true)));
          case FULL -> {
            Response no = answer(503, "full", true);
            no.headers().with("Not-Started", "1");
            write(Encoder.response(no));
          }
          default -> reset();
        }
      }
    }
  }

  private static Response answer(int status, String text, boolean keep) {
    return new Response(
        status,
        new Headers().with("Content-Type", "text/plain"),
        keep,
        text.getBytes(StandardCharsets.US_ASCII));
  }
}
