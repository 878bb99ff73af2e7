package wheattrack.net;

import java.nio.channels.AsynchronousSocketChannel;
import wheattrack.aio.Link;
import wheattrack.aio.Loop;
import wheattrack.core.Deadlines;
import wheattrack.http.BadMessage;
import wheattrack.http.Encoder;
import wheattrack.http.Request;
import wheattrack.http.RequestDecoder;
import wheattrack.http.Response;

/** One client connection; it has one req open at a time. */
final class Client extends Link {
    /** How long an answer may take to go, or a closing client to close. */
    private static final long STALL = 100_000, LINGER = 10_000;
    /** For a first whole request from connecting, for a later one from its first byte, and for resting. */
    private static final long PATIENCE = 20_500;

    private final Front front;
    private final int slot;
    private final RequestDecoder in = new RequestDecoder();
    private boolean busy;
    private boolean keep;
    private boolean unread;
    private boolean lingering;
    private boolean interim;
    private boolean asked;
    private boolean resting;
    private Deadlines.Entry stall;
    private long idleSince;
    private Runnable onLeft;

    Client(Front front, Loop loop, AsynchronousSocketChannel channel) {
        super(loop, channel);
        this.front = front;
        slot = front.admitted(this);
        idleSince = loop.now();
    }

    long idleSince() {
        return idleSince;
    }

    /** Bad clients, silent, dripping or half-said, held a place for 10 s or for good: this ends them. */
    void open() {
        stall = loop.after(PATIENCE, this::tooLate);
        read(in.room());
    }

    private void tooLate() {
        if (in.isAmid()) {
            refuse(408, "the request did not come whole");
        } else {
            close();
        }
    }

    boolean isIdle() {
        return !busy && !lingering && !in.isAmid();
    }

    /** How soon it gives way to another: 0 turned away, 1 still asks nothing, 2 at rest, 3 not at all. */
    int rank() {
        boolean mute = !asked && loop.now() - idleSince > PATIENCE / 8;
        return lingering ? 0 : busy ? 3 : mute ? 1 : in.isAmid() ? 3 : 2;
    }

    @Override
    protected void came(int n) {
        if (n < 0) {
            close();
            return;
        }
        if (lingering) {
            in.room().clear();
        } else if (!busy) {
            advance();
        }
        readOn();
    }

    /** Reads on, for the next bytes or the client's leaving; not while bytes of a next request wait. */
    private void readOn() {
        if (!isClosed() && (lingering || !busy || in.waiting() == 0)) {
            read(in.room());
        }
    }

    private void advance() {
        try {
            Request request = in.next();
            if (request != null) {
                busy = true;
                asked = true;
                calm();
                front.came(this, request);
            } else if (in.isAmid()) {
                if (stall == null || resting) {
                    calm();
                    stall = loop.after(PATIENCE, this::tooLate);
                }
                if (in.expectsWord()) {
                    interim = true;
                    write(Encoder.goOn());
                }
            }
        } catch (BadMessage e) {
            refuse(e.status, e.getMessage());
        }
    }

    private void calm() {
        loop.cancel(stall);
        stall = null;
        resting = false;
    }

    private void refuse(int status, String why) {
        front.refused(status, why);
        busy = true;
        unread = true;
        answer(Wire.plain(status, why, false));
    }

    /** What is to be done should the client leave before its answer. */
    void onLeft(Runnable then) {
        onLeft = then;
    }

    /** The one answer to the request that is open. */
    void answer(Response response) {
        onLeft = null;
        if (isClosed()) {
            return;
        }
        keep = response.keep();
        calm();
        stall = loop.after(STALL, this::close);
        write(Encoder.response(response));
    }

    @Override
    protected void wrote(boolean whole) {
        if (isClosed()) {
            return;
        }
        if (interim) {
            interim = false;
            return;
        }
        calm();
        if (!whole || !keep && !unread) {
            close();
        } else if (keep) {
            busy = false;
            idleSince = loop.now();
            stall = loop.after(PATIENCE, this::close);
            resting = true;
            if (!isReading()) {                     // a read that is out may be filling the inbox just now
                advance();
                readOn();
            }
        } else {                                    // what it goes on sending would reset the answer
            lingering = true;
            stall = loop.after(LINGER, this::close);
            endOutput();
            readOn();
        }
    }

    @Override
    public void close() {
        if (isClosed()) {
            return;
        }
        super.close();
        calm();
        front.closed(slot);
        if (onLeft != null) {
            onLeft.run();
        }
    }
}
