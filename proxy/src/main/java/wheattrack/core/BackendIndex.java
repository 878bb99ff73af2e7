package wheattrack.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/**
 * Assigns each known backend an index from a small dense range. An index is reused for a new
 * backend once the backend that held it has left the endpoint list and has no work in flight. Not
 * thread-safe.
 *
 * @param <K> the type of a backend's id
 * @param <B> the type of a backend
 */
public final class BackendIndex<K, B extends BackendIndex.Backend<K>> {
  /** Stands for the start time, in ticks, of a backend that started long ago at an unknown time. */
  public static final long LONG_AGO = Long.MIN_VALUE / 2;

  /**
   * One known backend, listed or not.
   *
   * @param <K> the type of its id
   */
  public abstract static class Backend<K> {
    private final K id;
    private final int index;
    private boolean isListed;
    private int attemptsInFlight;

    /** Creates a backend that is not listed yet. */
    protected Backend(K id, int index) {
      this.id = id;
      this.index = index;
    }

    /** The id by which the endpoint list names it. */
    public final K id() {
      return id;
    }

    /** Its index; unique among the backends known at one time. */
    public final int index() {
      return index;
    }

    /** Counts an attempt that is sent to this backend; {@link #attemptEnded} must follow. */
    public final void attemptStarted() {
      attemptsInFlight++;
    }

    /**
     * Counts an attempt as ended: its outcome is known and its response is complete or given up.
     */
    public final void attemptEnded() {
      attemptsInFlight--;
    }

    /** Whether work is still in flight at this backend, so that its index must not be reused. */
    protected boolean hasWorkInFlight() {
      return attemptsInFlight > 0;
    }

    final boolean isListed() {
      return isListed;
    }

    final void setListed(boolean listed) {
      isListed = listed;
    }
  }

  private final BiFunction<K, Integer, B> factory;
  private final Map<K, B> byId = new HashMap<>();
  private final List<B> byIndex = new ArrayList<>();

  /**
   * Creates an empty index.
   *
   * @param factory creates a backend from its id and index
   */
  public BackendIndex(BiFunction<K, Integer, B> factory) {
    this.factory = factory;
  }

  /**
   * The backend with this index.
   *
   * @throws IndexOutOfBoundsException if the index was never assigned
   */
  public B get(int index) {
    return byIndex.get(index);
  }

  /** The backend with this id, or null. */
  public B find(K id) {
    return byId.get(id);
  }

  /**
   * The backend with this id, added if it is new; a new one is unlisted until {@link #markListed}.
   */
  public B getOrAdd(K id) {
    B known = byId.get(id);
    if (known != null) {
      return known;
    }
    int index = takeIndex();
    B backend = factory.apply(id, index);
    if (index == byIndex.size()) {
      byIndex.add(backend);
    } else {
      byIndex.set(index, backend);
    }
    byId.put(id, backend);
    return backend;
  }

  /**
   * Returns the lowest index whose backend is unlisted and has no work in flight, and removes that
   * backend; if there is none, returns the first index that was never assigned.
   */
  private int takeIndex() {
    for (B backend : byIndex) {
      if (!backend.isListed() && !backend.hasWorkInFlight()) {
        byId.remove(backend.id());
        return backend.index();
      }
    }
    return byIndex.size();
  }

  /** Notes that the backend is on the endpoint list; returns whether it was not before. */
  public boolean markListed(B backend) {
    boolean isNew = !backend.isListed();
    backend.setListed(true);
    return isNew;
  }

  /**
   * Notes that the backend has left the endpoint list; returns whether it was on it.
   *
   * @param backend the backend, or null for an unknown one
   */
  public boolean markUnlisted(B backend) {
    boolean wasListed = backend != null && backend.isListed();
    if (wasListed) {
      backend.setListed(false);
    }
    return wasListed;
  }

  /** How many backends are on the endpoint list. */
  public int listedCount() {
    return listedCountFrom(0);
  }

  /** How many of the listed backends have this index or a greater one. */
  public int listedCountFrom(int index) {
    return (int) byIndex.stream().skip(index).filter(Backend::isListed).count();
  }

  /** The listed backends whose ids are not in the set, ordered by index. */
  public List<B> listedExcept(Set<?> ids) {
    return byIndex.stream()
        .filter(backend -> backend.isListed() && !ids.contains(backend.id()))
        .toList();
  }

  /** Whether any listed backend meets the condition. */
  public boolean anyListed(Predicate<B> condition) {
    return byIndex.stream().anyMatch(backend -> backend.isListed() && condition.test(backend));
  }

  /** Removes all backends. */
  public void clear() {
    byId.clear();
    byIndex.clear();
  }
}
