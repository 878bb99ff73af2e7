package independent;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** The network between two places: passes bytes on unchanged, each a fixed time later. */
final class DelayedLink implements AutoCloseable {
  private record Part(byte[] bytes, long dueNanos) {}

  private final ServerSocket listener;
  private final int targetPort;
  private final long delayNanos;

  DelayedLink(int targetPort, double delayMillis) throws IOException {
    this.targetPort = targetPort;
    delayNanos = (long) (delayMillis * 1e6);
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Discovery.start("link", this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        Socket far = new Socket();
        far.connect(new InetSocketAddress("127.0.0.1", targetPort), 1000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        join(near, far);
        join(far, near);
      } catch (IOException e) {
        if (listener.isClosed()) {
          return;
        }
      }
    }
  }

  private void join(Socket from, Socket to) {
    BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    Discovery.start("link", () -> read(from, parts));
    Discovery.start("link", () -> write(to, parts));
  }

  private void read(Socket from, BlockingQueue<Part> parts) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream input = from.getInputStream();
      for (int n = input.read(buffer); n >= 0; n = input.read(buffer)) {
        parts.add(new Part(java.util.Arrays.copyOf(buffer, n), System.nanoTime() + delayNanos));
      }
    } catch (IOException e) {
      // passed on as the end
    }
    parts.add(new Part(null, System.nanoTime() + delayNanos));
  }

  private void write(Socket to, BlockingQueue<Part> parts) {
    try (to) {
      for (Part part = parts.take(); part.bytes != null; part = parts.take()) {
        long wait = part.dueNanos - System.nanoTime();
        if (wait > 0) {
          Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
        }
        to.getOutputStream().write(part.bytes);
      }
    } catch (IOException | InterruptedException e) {
      // the other side has closed
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
