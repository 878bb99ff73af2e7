package wheattrack.http;

/** One whole request; keep: its connection may carry a further one. */
public record Request(String method, String target, Headers headers, boolean keep, byte[] body) {
}
