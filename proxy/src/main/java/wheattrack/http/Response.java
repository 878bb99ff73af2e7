package wheattrack.http;

/** One whole answer; keep: its connection may carry a further one. */
public record Response(int status, Headers headers, boolean keep, byte[] body) {
}
