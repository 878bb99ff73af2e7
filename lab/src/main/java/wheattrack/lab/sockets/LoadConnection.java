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
 * One connection of a client to a proxy; it carries one request at a time. Runs on the run's thread
 * only.
 */
final class LoadConnection extends TcpConnection {
  /** How long it may be idle: shorter than the proxies allow. */
  private static final long IDLE_TIMEOUT = 15_000;

  /** How long after the client's timeout an answer may still arrive. */
  private static final long ANSWER_GRACE = 5_000;

  private final LoadConnectionPool pool;
  private final SocketRun run;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private EncodedRequest current;
  private EncodedRequest lastRequest;
  private ByteBuffer output;
  private boolean reused;
  private boolean hasResponseBytes;
  private int exchanges;

  LoadConnection(LoadConnectionPool pool, SocketRun run, AsynchronousSocketChannel channel) {
    super(run.loop(), channel);
    this.pool = pool;
    this.run = run;
  }

  /** Connects and then sends a first request. */
  void connectAndSend(EncodedRequest request) {
    current = request;
    connect(
        pool.address(),
        () -> send(request, false),
        () -> {
          close();
          pool.requestBroken(request);
        });
  }

  /** Whether it waits for the answer to this request. */
  @SuppressWarnings("ReferenceEquality") // each request is an object of its own
  boolean carries(ClientRequest request) {
    return current != null && current.clientRequest() == request;
  }

  /** Sends a request, on a connection that was used before or on a new one. */
  void send(EncodedRequest request, boolean isReused) {
    if (isClosed()) {
      return;
    }
    current = request;
    reused = isReused;
    hasResponseBytes = false;
    exchanges++;
    output = request.bytes();
    write(output);
    read(decoder.writableBuffer());
  }

  @Override
  protected void onWritten(boolean complete) {
    if (current == null || output.hasRemaining()) {
      return;
    }
    if (complete && !current.isAccepted() && current.clientRequest().isOpen()) {
      current.markAccepted();
      recordAccepted(current);
      EncodedRequest sent = current;
      run.schedule(
          sent.timeout() + ANSWER_GRACE,
          () -> {
            if (current == sent) { // the referee knows that there was no answer in time
              close();
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
      } else if (current == null) { // a second answer to the last request
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
    lastRequest = current;
    current = null;
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
   * The other side has closed the connection. A proxy may do so while a request is on its way: that
   * one is sent again on another connection.
   */
  private void connectionEnded() {
    EncodedRequest lostRequest = current;
    current = null;
    close();
    if (lostRequest == null) {
      return;
    }
    if (reused && !hasResponseBytes && pool.proxy().isUp()) {
      run.countResentRequest();
      pool.send(lostRequest);
    } else {
      pool.requestBroken(lostRequest);
    }
  }

  @Override
  public void close() {
    super.close();
    pool.connectionClosed(this);
  }
}
