package wheattrack.http;

import java.nio.ByteBuffer;

/** Makes messages of the bytes of one connection, as they come. */
public abstract class Decoder<M> {
    /** The longest body that is taken. */
    public static final int MOST_BODY = 64 * 1024;

    private final Inbox in = new Inbox();
    private boolean inBody;
    private long length;
    private Chunks chunks;
    private Bytes body;

    /** Room for what comes next; to be filled by one read. */
    public ByteBuffer room() {
        return in.room();
    }

    /** Bytes that wait to be made into a message. */
    public int waiting() {
        return in.waiting();
    }

    /** Whether a message has begun that is not whole yet. */
    public boolean isAmid() {
        return inBody || in.waiting() > 0;
    }

    /** The next whole message, or null while there is none. */
    public M next() throws BadMessage {
        if (!inBody) {
            String[] lines = in.head();
            if (lines == null) {
                return null;
            }
            Headers headers = Inbox.headers(lines);
            length = start(lines[0], headers);
            chunks = headers.chunked() ? new Chunks() : null;
            body = chunks == null ? null : new Bytes();
            if (length > MOST_BODY) {
                throw new BadMessage(413, "body over " + MOST_BODY + " bytes");
            }
            inBody = true;
        }
        if (chunks != null) {
            try {
                chunks.decode(in.open(), body, MOST_BODY);
            } finally {
                in.taken();
            }
            if (!chunks.ended()) {
                return null;
            }
            inBody = false;
            return whole(body.all());
        }
        if (in.waiting() < length) {
            return null;
        }
        inBody = false;
        return whole(in.take((int) length));
    }

    /** Takes the first line and the headers; gives the body's length where it is not chunked. */
    protected abstract long start(String line, Headers headers) throws BadMessage;

    protected abstract M whole(byte[] body);

    static boolean keeps(String version, Headers headers) {
        return version.equals("HTTP/1.1") && !headers.lists("Connection", "close");
    }

    static void checkVersion(String version) throws BadMessage {
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new BadMessage(400, "unknown version");
        }
    }
}
