package wheattrack.http;

import java.util.regex.Pattern;

/** Answers, as a client reads them; one without a length might be cut off and is not taken. */
public final class ResponseDecoder extends Decoder<Response> {
    private static final Pattern LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");

    private int status;
    private Headers headers;
    private boolean keep;

    @Override
    protected long start(String line, Headers with) throws BadMessage {
        status = status(line);
        headers = with;
        keep = keeps(line.substring(0, 8), with);
        long length = with.length();
        if (status < 200 || status == 204 || status == 304) {
            return 0;
        }
        if (length < 0 && !with.chunked()) {
            throw new BadMessage(502, "an answer of no known length");
        }
        return Math.max(0, length);
    }

    static int status(String line) throws BadMessage {
        if (!LINE.matcher(line).matches()) {
            throw new BadMessage(502, "bad status line");
        }
        return Integer.parseInt(line.substring(9, 12));
    }

    @Override
    protected Response whole(byte[] body) {
        return new Response(status, headers, keep, body);
    }
}
