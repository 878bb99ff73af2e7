package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
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
import wheattrack.lab.model.ReceivedAttempt;
import wheattrack.lab.model.SimulatedBackend;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;

/**
 * The HTTP server of a simulated backend. It listens on one port for each proxy, which identifies
 * the sender of an attempt. If the scenario has link faults, a {@link FaultyLink} is in front of
 * each port. Runs on the run's thread only.
 */
final class BackendServer {
  private final SocketRun run;
  private final SimulatedBackend backend;
  private final int[] ports;
  private final List<FaultyLink> faultyLinks = new ArrayList<>();
  private final List<LoopbackListener> listeners = new ArrayList<>();
  private final Set<Connection> connections = new LinkedHashSet<>();

  BackendServer(SocketRun run, SimulatedBackend backend, boolean withFaultyLinks) {
    this.run = run;
    this.backend = backend;
    ports = new int[run.scenario().proxyCount()];
    backend.onStateChange(this::backendStateChanged);
    listen();
    for (int proxy = 0; withFaultyLinks && proxy < ports.length; proxy++) {
      String linkName = "relay" + backend.index() + "-" + proxy;
      faultyLinks.add(new FaultyLink(run, ports[proxy], run.randomStream(linkName)));
    }
  }

  /** The port to which this proxy connects to reach the backend. */
  int port(int proxy) {
    return faultyLinks.isEmpty() ? ports[proxy] : faultyLinks.get(proxy).port();
  }

  /** Sets the fault of all links to the backend, or ends it with null. */
  void setLinkFault(Fault fault) {
    faultyLinks.forEach(link -> link.setFault(fault));
  }

  private void backendStateChanged() {
    switch (backend.state()) {
      case DEAD -> {
        stopListening();
        List.copyOf(connections).forEach(Connection::reset);
      }
      case SILENT -> List.copyOf(connections).forEach(connection -> connection.isSilent = true);
      case UP -> {
        List.copyOf(connections).stream()
            .filter(connection -> connection.isSilent)
            .forEach(Connection::reset);
        listen();
      }
      default -> {
        // connections to a hung process stay open
      }
    }
  }

  /** Listens, if it does not yet; each later time on the ports of the first time. */
  private void listen() {
    if (!listeners.isEmpty()) {
      return;
    }
    for (int index = 0; index < ports.length; index++) {
      int proxy = index;
      LoopbackListener listener =
          new LoopbackListener(
              run,
              ports[proxy],
              LoopbackListener.LARGE_BACKLOG,
              channel -> connectionAccepted(channel, proxy));
      ports[proxy] = listener.port();
      listeners.add(listener);
    }
  }

  private void stopListening() {
    listeners.forEach(LoopbackListener::close);
    listeners.clear();
  }

  private void connectionAccepted(AsynchronousSocketChannel channel, int proxy) {
    Connection connection = new Connection(channel, proxy);
    connections.add(connection);
    connection.isSilent = backend.state() == SimulatedBackend.State.SILENT;
    connection.open();
  }

  /** One connection from a proxy; it carries one attempt at a time. */
  private final class Connection extends TcpConnection {
    private final RequestDecoder decoder = new RequestDecoder();
    private final AsynchronousSocketChannel channel;
    private final int proxy;
    private final int incarnation = backend.incarnation();
    private boolean isSilent;
    private boolean holdsBackendConnection;
    private boolean isUnused = true;
    private Runnable closeHandler;

    Connection(AsynchronousSocketChannel channel, int proxy) {
      super(run.loop(), channel);
      this.channel = channel;
      this.proxy = proxy;
    }

    void open() {
      holdsBackendConnection = isSilent || backend.tryAcceptConnection();
      if (holdsBackendConnection) {
        read(decoder.writableBuffer());
      } else {
        reset();
      }
    }

    @Override
    protected void onRead(int byteCount) {
      if (byteCount < 0) {
        Runnable handler = closeHandler;
        close();
        if (handler != null) {
          handler.run();
        }
        return;
      }
      try {
        Request request = decoder.next();
        if (request != null && !isSilent) {
          receive(request);
        }
        read(decoder.writableBuffer());
      } catch (MalformedMessageException e) {
        close();
      }
    }

    private void receive(Request request) {
      String id = request.headers().first("Request-Id");
      boolean isValid = id != null && id.matches("[0-9a-f]{1,16}");
      Long work = isValid ? run.workOf(Long.parseLong(id, 16)) : null;
      if (work == null || closeHandler != null) {
        write(
            Encoder.response(
                response(
                    HttpStatus.BAD_REQUEST,
                    "unknown Request-Id, or the connection is busy",
                    false)));
        return;
      }
      boolean isFirst = isUnused;
      isUnused = false;
      long deadline = run.now() + timeoutOf(request);
      Attempt attempt = new Attempt(Long.parseLong(id, 16), work, deadline);
      backend.receive(attempt, firstByteSentAt(), isFirst);
    }

    private long timeoutOf(Request request) {
      String seconds = request.headers().first("Request-Timeout");
      return seconds == null
          ? Integer.MAX_VALUE
          : (long) (Double.parseDouble(seconds) * Scenario.SECOND);
    }

    private long firstByteSentAt() {
      if (faultyLinks.isEmpty()) {
        return run.now();
      }
      try {
        int linkPort = ((InetSocketAddress) channel.getRemoteAddress()).getPort();
        return faultyLinks.get(proxy).sentAt(linkPort);
      } catch (IOException e) {
        return run.now(); // the connection is closed: the time of arrival is the best estimate
      }
    }

    @Override
    protected void onWritten(boolean complete) {
      if (!complete) {
        close();
      }
    }

    /** Closes it with a TCP reset, so that the proxy notices immediately. */
    void reset() {
      LoopbackListener.resetOnClose(channel);
      close();
    }

    @Override
    public void close() {
      if (!isClosed()) {
        super.close();
        connections.remove(this);
        if (holdsBackendConnection) {
          backend.connectionClosed(incarnation);
        }
      }
    }

    /** An attempt received on this connection. */
    private final class Attempt implements ReceivedAttempt {
      private final long requestId;
      private final long work;
      private final long deadline;

      Attempt(long requestId, long work, long deadline) {
        this.requestId = requestId;
        this.work = work;
        this.deadline = deadline;
      }

      @Override
      public long requestId() {
        return requestId;
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
      public long deadline() {
        return deadline;
      }

      @Override
      public void onConnectionClosed(Runnable handler) {
        closeHandler = handler;
      }

      @Override
      public void completed(AttemptOutcome outcome) {
        if (isClosed()) {
          return;
        }
        switch (outcome) {
          case DONE ->
              write(Encoder.response(response(HttpStatus.OK, Long.toHexString(requestId), true)));
          case ERROR ->
              write(Encoder.response(response(HttpStatus.INTERNAL_SERVER_ERROR, "failed", true)));
          case FULL -> {
            Response response = response(HttpStatus.SERVICE_UNAVAILABLE, "full", true);
            response.headers().with("Not-Started", "1");
            write(Encoder.response(response));
          }
          default -> reset();
        }
      }
    }
  }

  private static Response response(int status, String text, boolean keepAlive) {
    return new Response(
        status,
        new Headers().with("Content-Type", "text/plain"),
        keepAlive,
        text.getBytes(StandardCharsets.US_ASCII));
  }
}
