package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Consumer;
import wheattrack.aio.Link;
import wheattrack.aio.Loop;
import wheattrack.core.Deadlines;
import wheattrack.http.BadMessage;
import wheattrack.http.Encoder;
import wheattrack.http.Headers;
import wheattrack.http.LineDecoder;
import wheattrack.http.Request;

/** One watch on the list, until it breaks or falls silent. */
final class Watch extends Link {
    /** A line comes every 2 s at least; half as much again without one is a break. */
    static final long SILENCE = 30_000;

    private final LineDecoder in = new LineDecoder();
    private final Consumer<String> line;
    private final Consumer<String> failed;
    private Deadlines.Entry silence;

    private Watch(Loop loop, AsynchronousSocketChannel channel, Consumer<String> line,
            Consumer<String> failed) {
        super(loop, channel);
        this.line = line;
        this.failed = failed;
    }

    /** Opens a watch for what comes after a version, or for the whole list if that is negative. */
    static Watch open(Loop loop, AsynchronousChannelGroup group, InetSocketAddress to, long after,
            Consumer<String> line, Consumer<String> failed) throws IOException {
        Watch watch = new Watch(loop, AsynchronousSocketChannel.open(group), line, failed);
        watch.listen();
        watch.connect(to, () -> watch.ask(to, after), () -> watch.fail("no connection"));
        return watch;
    }

    private void ask(InetSocketAddress to, long after) {
        if (isClosed()) {
            return;
        }
        String target = "/v1/endpoints?watch=1" + (after < 0 ? "" : "&after=" + after);
        Headers headers = new Headers().with("Host", to.getAddress().getHostAddress() + ":" + to.getPort());
        write(Encoder.request(new Request("GET", target, headers, true, new byte[0])));
        read(in.room());
    }

    private void listen() {
        loop.cancel(silence);
        silence = loop.after(SILENCE, () -> fail("silent"));
    }

    @Override
    protected void came(int n) {
        if (n < 0) {
            fail("ended");
            return;
        }
        listen();
        try {
            for (String text = in.next(); text != null && !isClosed(); text = in.next()) {
                if (!text.isEmpty()) {
                    line.accept(text);
                }
            }
            read(in.room());
        } catch (BadMessage e) {
            fail(e.getMessage());
        }
    }

    @Override
    protected void wrote(boolean whole) {
        if (!whole) {
            fail("broken");
        }
    }

    void fail(String why) {
        if (!isClosed()) {
            close();
            failed.accept(why);
        }
    }

    @Override
    public void close() {
        super.close();
        loop.cancel(silence);
    }
}
