package wheattrack.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages as bytes, each with its length. */
public final class Encoder {
    private Encoder() {
    }

    public static ByteBuffer request(Request r) {
        StringBuilder head = new StringBuilder(256);
        head.append(r.method()).append(' ').append(r.target()).append(" HTTP/1.1\r\n");
        boolean measured = r.body().length > 0 || !r.method().equals("GET");
        return message(head, r.headers(), r.keep(), r.body(), measured);
    }

    public static ByteBuffer response(Response r) {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ").append(r.status()).append(' ').append(reason(r.status())).append("\r\n");
        return message(head, r.headers(), r.keep(), r.body(), true);
    }

    /** The interim word that a body is wanted. */
    public static ByteBuffer goOn() {
        return ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static ByteBuffer message(StringBuilder head, Headers headers, boolean keep, byte[] body,
            boolean measured) {
        for (int i = 0; i < headers.size(); i++) {
            head.append(headers.name(i)).append(": ").append(headers.value(i)).append("\r\n");
        }
        if (measured) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        if (!keep) {
            head.append("Connection: close\r\n");
        }
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(bytes.length + body.length).put(bytes).put(body).flip();
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status " + status;
        };
    }
}
