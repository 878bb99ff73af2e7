package wheattrack.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses numeric IPv4 and IPv6 addresses with a port. Never resolves a name. */
public final class SocketAddressParser {
  private static final Pattern HOST =
      Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]");
  private static final Pattern PORT = Pattern.compile("\\d{1,5}");
  private static final int MAX_PORT = 65535;

  private SocketAddressParser() {}

  /**
   * Parses an address.
   *
   * @param key the key that the text was read from, for the error
   * @throws InvalidConfigurationException if the text is no numeric address with a port
   */
  public static InetSocketAddress parse(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    boolean isValid =
        HOST.matcher(host).matches()
            && PORT.matcher(port).matches()
            && Integer.parseInt(port) <= MAX_PORT;
    if (!isValid) {
      throw new InvalidConfigurationException(
          key, "expected a numeric IP address with a port, got " + text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
    } catch (UnknownHostException e) {
      throw new InvalidConfigurationException(
          key, "expected a numeric IP address with a port, got " + text);
    }
  }
}
