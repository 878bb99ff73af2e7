package wheattrack.net.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Set;

/**
 * The identifiers of open requests, and of those that may still run after their client has
 * disconnected. Long identifiers are kept as digests, so that each takes little memory. Runs on the
 * event loop's thread only.
 */
final class ReservedIds {
  /** The length, in characters, of the longest identifier that is kept as it is. */
  private static final int MAX_PLAIN_LENGTH = 64;

  private static final String DIGEST_ALGORITHM = "SHA-256";

  private final Set<String> keys = new HashSet<>();

  /** What an identifier is kept as. */
  static String key(String id) {
    return id.length() <= MAX_PLAIN_LENGTH ? id : digest(id);
  }

  private static String digest(String id) {
    try {
      MessageDigest digest = MessageDigest.getInstance(DIGEST_ALGORITHM);
      return HexFormat.of().formatHex(digest.digest(id.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("expected a JDK with " + DIGEST_ALGORITHM, e);
    }
  }

  /** Reserves the identifier; returns whether it was not reserved before. */
  boolean add(String id) {
    return keys.add(key(id));
  }

  /** Releases the identifier with this {@link #key}. */
  void removeKey(String key) {
    keys.remove(key);
  }
}
