package wheattrack.net.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import wheattrack.aio.EventLoop;
import wheattrack.config.TimeConversion;
import wheattrack.core.Fingerprint;
import wheattrack.net.lease.IdLease;
import wheattrack.net.lease.IdLeaseTable;

/**
 * The identifiers of open requests, and of those that may still run after their client has
 * disconnected, at this process and, as leases, at other processes of this proxy. A lease lasts
 * until the request's deadline, also beyond the end of this process, and is extended while its
 * request is open. Long identifiers are kept as digests, so that each takes little memory. Times
 * are tenths of a millisecond. Runs on the event loop's thread only.
 */
final class ReservedIds {
  /** The length, in characters, of the longest identifier that is kept as it is. */
  private static final int MAX_PLAIN_LENGTH = 64;

  private static final String DIGEST_ALGORITHM = "SHA-256";

  /** How often the leases of open requests are extended. */
  private static final long EXTENSION_INTERVAL = 10_000;

  /** How long a lease lasts at least after it was extended, in milliseconds. */
  private static final long EXTENSION_MILLIS = 3000;

  private final EventLoop loop;
  private final IdLeaseTable leases;
  private final Map<String, IdLease> openByKey = new HashMap<>();
  private final Map<String, IdLease> heldByKey = new HashMap<>();
  private boolean isExtensionScheduled;

  /**
   * Creates an empty set.
   *
   * @param leases the identifiers that other processes of this proxy have reserved
   */
  ReservedIds(EventLoop loop, IdLeaseTable leases) {
    this.loop = loop;
    this.leases = leases;
  }

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

  /**
   * Reserves the identifier; returns whether it was not reserved before, here or at another process
   * of this proxy.
   *
   * @param duration the time until the request's deadline
   */
  boolean add(String id, long duration) {
    String key = key(id);
    if (openByKey.containsKey(key) || heldByKey.containsKey(key)) {
      return false;
    }
    long fingerprint = Fingerprint.of(key.getBytes(StandardCharsets.UTF_8));
    IdLease lease = leases.acquire(fingerprint, millis(duration));
    if (lease == null) {
      return false;
    }
    openByKey.put(key, lease);
    scheduleExtension();
    return true;
  }

  private static long millis(long ticks) {
    return ticks / TimeConversion.TICKS_PER_MILLISECOND + 1;
  }

  /** Keeps the identifier with this {@link #key} reserved for this time, then releases it. */
  void removeKeyAfter(String key, long duration) {
    IdLease lease = openByKey.remove(key);
    if (lease != null) {
      heldByKey.put(key, lease);
      lease.extend(millis(duration));
      loop.schedule(duration, () -> heldByKey.remove(key).release());
    }
  }

  /** Releases the identifier with this {@link #key}, whose request was open. */
  void removeKey(String key) {
    IdLease lease = openByKey.remove(key);
    if (lease != null) {
      lease.release();
    }
  }

  private void scheduleExtension() {
    if (!isExtensionScheduled && !openByKey.isEmpty()) {
      isExtensionScheduled = true;
      loop.schedule(EXTENSION_INTERVAL, this::extendAll);
    }
  }

  /** Requests whose response or body is long may be open for longer than their deadline. */
  private void extendAll() {
    isExtensionScheduled = false;
    openByKey.values().forEach(lease -> lease.extend(EXTENSION_MILLIS));
    scheduleExtension();
  }
}
