package wheattrack.lab.sockets;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import wheattrack.aio.TcpConnection;
import wheattrack.http.MalformedMessageException;
import wheattrack.http.Response;
import wheattrack.http.ResponseDecoder;
import wheattrack.lab.model.ClientRequest;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.Answer;
import wheattrack.lab.scenario.Scenario;

/**
 * One connection of a client to a proxy; it carries one request at a time. Times are tenths of a
 * millisecond. Runs on the run's thread only.
 */
final class LoadConnection extends TcpConnection {
  /** How long a connection may be idle; shorter than the proxies' idle timeout. */
  private static final long IDLE_TIMEOUT = 15_000;

  /** How long after the client's timeout a connection still waits for the answer. */
  private static final long ANSWER_GRACE = 5_000;

  private final LoadConnectionPool pool;
  private final SocketRun run;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private EncodedRequest currentRequest;
  private EncodedRequest lastRequest;
  private ByteBuffer output;
  private boolean isReused;
  private boolean hasResponseBytes;
  private int exchanges;

  LoadConnection(LoadConnectionPool pool, SocketRun run, AsynchronousSocketChannel channel) {
    super(run.loop(), channel);
    this.pool = pool;
    this.run = run;
  }

  /** Connects and then sends the first request. */
  void connectAndSend(EncodedRequest request) {
    currentRequest = request;
    connect(
        pool.address(),
        () -> send(request, false),
        () -> {
          close();
          pool.connectionLost(request);
        });
  }

  /** Whether it waits for the answer to this request. */
  @SuppressWarnings("ReferenceEquality") // each request is an object of its own
  boolean carries(ClientRequest request) {
    return currentRequest != null && currentRequest.clientRequest() == request;
  }

  /**
   * Sends a request on this open connection.
   *
   * @param isReused whether the connection has carried a request before
   */
  void send(EncodedRequest request, boolean isReused) {
    if (isClosed()) {
      return;
    }
    currentRequest = request;
    this.isReused = isReused;
    hasResponseBytes = false;
    exchanges++;
    output = request.bytes();
    write(output);
    read(decoder.writableBuffer());
  }

  @Override
  protected void onWritten(boolean complete) {
    if (currentRequest == null || output.hasRemaining()) {
      return;
    }
    if (complete && !currentRequest.isAccepted() && currentRequest.clientRequest().isOpen()) {
      currentRequest.markAccepted();
      recordAccepted(currentRequest);
      EncodedRequest sentRequest = currentRequest;
      run.schedule(
          sentRequest.timeout() + ANSWER_GRACE,
          () -> {
            if (currentRequest == sentRequest) {
              close(); // the referee judges the missing answer, from the ledger
            }
          });
    }
  }

  private void recordAccepted(EncodedRequest request) {
    ClientRequest clientRequest = request.clientRequest();
    run.record(
        LedgerRecord.requestAccepted(
            run.now(),
            clientRequest.requestId(),
            clientRequest.operation().id(),
            pool.proxy().index(),
            run.now() + request.timeout(),
            clientRequest.plan().workload().requestClass().index()));
  }

  @Override
  protected void onRead(int byteCount) {
    if (byteCount < 0) {
      connectionEnded();
      return;
    }
    hasResponseBytes |= byteCount > 0;
    try {
      Response response = decoder.next();
      if (response == null) {
        read(decoder.writableBuffer());
      } else if (currentRequest == null) { // an unexpected second answer to the last request
        run.clients().answered(lastRequest.clientRequest(), Answer.FAILED, 0);
        close();
      } else {
        answered(response);
      }
    } catch (MalformedMessageException e) {
      connectionEnded();
    }
  }

  private void answered(Response response) {
    lastRequest = currentRequest;
    currentRequest = null;
    Answer answer = answerOf(response, lastRequest.clientRequest());
    String header = response.headers().first("Retry-After");
    long retryAfter = header == null ? 0 : (long) (Double.parseDouble(header) * Scenario.SECOND);
    if (response.keepAlive() && !isClosed()) {
      pool.connectionIdle(this);
      read(decoder.writableBuffer());
      closeWhenIdleFor(IDLE_TIMEOUT);
    } else {
      close();
    }
    run.clients().answered(lastRequest.clientRequest(), answer, retryAfter);
  }

  private static Answer answerOf(Response response, ClientRequest request) {
    if (response.status() == HttpStatus.SERVICE_UNAVAILABLE
        || response.status() == HttpStatus.TOO_MANY_REQUESTS) {
      return Answer.REJECTED;
    }
    if (response.status() != HttpStatus.OK) {
      return Answer.FAILED;
    }
    String body = new String(response.body(), StandardCharsets.US_ASCII);
    return body.equals(Long.toHexString(request.requestId()))
        ? Answer.DONE
        : Answer.CONNECTION_LOST;
  }

  private void closeWhenIdleFor(long time) {
    int exchange = exchanges;
    run.schedule(
        time,
        () -> {
          if (exchanges == exchange) {
            close();
          }
        });
  }

  /**
   * The proxy has closed the connection, or its answer is malformed. A proxy may close an idle
   * connection while a request is on its way: then the request is sent again on another connection.
   * So only a request on a reused connection, without any bytes of an answer, is sent again.
   */
  private void connectionEnded() {
    EncodedRequest lostRequest = currentRequest;
    currentRequest = null;
    close();
    if (lostRequest == null) {
      return;
    }
    if (isReused && !hasResponseBytes && pool.proxy().isUp()) {
      run.countResentRequest();
      pool.send(lostRequest);
    } else {
      pool.connectionLost(lostRequest);
    }
  }

  @Override
  public void close() {
    super.close();
    pool.connectionClosed(this);
  }
}
