package wheattrack.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** What one real proxy is told at its start. */
public final class Config {
    private static final int LEAST_SOCKETS = 64;

    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    public final long seed;
    /** Descriptors that the process may hold. */
    public final int sockets;
    /** How long new connections may still come once the end is announced, in tenths of a millisecond. */
    public final long drain;
    /** The list of backends as this proxy last had it, in discovery's form. */
    public final Settings known;
    public final Settings settings;

    public Config(Map<String, Object> all) {
        Settings s = new Settings(all);
        name = s.word("name", "wheattrack");
        listen = address("listen", s.word("listen"));
        discovery = address("discovery", s.word("discovery"));
        seed = seed(s);
        sockets = s.count("limits.sockets", 1024);
        if (sockets < LEAST_SOCKETS) {
            throw new BadConfig("limits.sockets", "under " + LEAST_SOCKETS);
        }
        drain = (long) (s.number("drain_ms", 500) * 10);
        known = s.part("known");
        settings = s.part("settings");
        if (settings.parts("ruleSets").isEmpty()) {
            throw new BadConfig("settings.ruleSets", "missing");
        }
        settings.ruleSets();
    }

    public static Config read(Path file) {
        try {
            return new Config(Json.object(Files.readString(file)));
        } catch (IOException e) {
            String fault = e.getMessage() == null ? e.toString() : e.getMessage().split("\n")[0];
            throw new BadConfig(file.toString(), "unreadable: " + fault);
        }
    }

    private static long seed(Settings s) {
        String seed = s.word("seed", "");
        try {
            return seed.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new BadConfig("seed", "not up to 16 hex digits: " + seed);
        }
    }

    /** An address in figures with its port; names are not looked up. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        boolean four = host.matches("(\\d{1,3}\\.){3}\\d{1,3}");
        boolean six = host.matches("\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]");
        if (!four && !six || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65535) {
            throw new BadConfig(key, "not an address in figures with a port: " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            throw new BadConfig(key, "not an address: " + text);
        }
    }
}
