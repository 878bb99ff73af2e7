package wheattrack.net.backend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The responses received most recently over all connections, which show whether backends give the
 * same response to different requests. Runs on the event loop's thread only.
 */
final class RecentResponses {
  private static final int MAX_RESPONSES = 1024;

  /** After this many responses that all differ, responses are taken to be distinct. */
  private static final int MIN_DISTINCT_RESPONSES = 4;

  /** The fingerprints; the one recorded longest ago is first. The values are not used. */
  private final Map<Long, Boolean> fingerprints =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > MAX_RESPONSES;
        }
      };

  private final Map<String, ResponseVariety> varieties = new HashMap<>();
  private boolean hasRepetition;

  /** The variety of the responses to requests of this class. */
  ResponseVariety variety(String className) {
    return varieties.computeIfAbsent(className, name -> new ResponseVariety(this));
  }

  /**
   * Records a response that cannot be a copy of one on the same connection.
   *
   * @return whether backends have given it before
   */
  boolean record(long fingerprint) {
    boolean isRepetition = fingerprints.remove(fingerprint) != null;
    fingerprints.put(fingerprint, true);
    hasRepetition |= isRepetition;
    return isRepetition;
  }

  /** Whether all responses so far have differed, and there were a few of them. */
  boolean areDistinct() {
    return !hasRepetition && fingerprints.size() >= MIN_DISTINCT_RESPONSES;
  }
}
