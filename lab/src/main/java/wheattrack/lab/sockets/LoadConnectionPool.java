package wheattrack.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wheattrack.lab.model.ClientRequest;
import wheattrack.lab.model.ProxyHandle;
import wheattrack.lab.referee.LedgerRecord.Answer;

/** The clients' connections to one proxy. Runs on the run's thread only. */
final class LoadConnectionPool {
  private final SocketRun run;
  private final ProxyHandle proxy;
  private final InetSocketAddress address;
  private final Deque<LoadConnection> idleConnections = new ArrayDeque<>();
  private final Set<LoadConnection> connections = new LinkedHashSet<>();

  LoadConnectionPool(SocketRun run, ProxyHandle proxy, InetSocketAddress address) {
    this.run = run;
    this.proxy = proxy;
    this.address = address;
  }

  /** The proxy to which the connections are open. */
  ProxyHandle proxy() {
    return proxy;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sends a request on the idle connection that was used last, or else on a new one. */
  void send(EncodedRequest request) {
    LoadConnection idle = idleConnections.pollLast();
    if (idle != null) {
      idle.send(request, true);
      return;
    }
    try {
      run.countOpenedConnection();
      LoadConnection connection =
          new LoadConnection(this, run, AsynchronousSocketChannel.open(run.group()));
      connections.add(connection);
      connection.connectAndSend(request);
    } catch (IOException e) {
      run.clients().connectionRefused(request.clientRequest());
    }
  }

  /** Closes the connection of a request, as its client disconnects. */
  void disconnect(ClientRequest request) {
    for (LoadConnection connection : List.copyOf(connections)) {
      if (connection.carries(request)) {
        connection.close();
      }
    }
  }

  /** Adds a connection to the idle ones, so that it can carry another request. */
  void connectionIdle(LoadConnection connection) {
    idleConnections.addLast(connection);
  }

  void connectionClosed(LoadConnection connection) {
    idleConnections.remove(connection);
    connections.remove(connection);
  }

  /** Notifies the clients that the connection of a request ended without an answer. */
  void connectionLost(EncodedRequest request) {
    if (request.isAccepted()) {
      run.clients().answered(request.clientRequest(), Answer.CONNECTION_LOST, 0);
    } else {
      run.clients().connectionRefused(request.clientRequest());
    }
  }
}
