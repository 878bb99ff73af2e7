package wheattrack.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * The list of backends as dense indexes; one is free again once its srv is gone and nothing is out
 * there.
 */
public final class BackendIndex<K, S extends BackendIndex.Backend<K>> {
  /** When a srv started of which only "long ago" is known. */
  public static final long LONG_AGO = Long.MIN_VALUE / 2;

  /** A backend at the door. */
  public abstract static class Backend<K> {
    public final K id;
    public final int index;
    private boolean unlisted = true;

    protected Backend(K id, int at) {
      this.id = id;
      this.index = at;
    }

    /** Whether something is still out there. */
    protected abstract boolean hasWorkInFlight();
  }

  private final BiFunction<K, Integer, S> maker;
  private final Map<K, S> byId = new HashMap<>();
  private final List<S> byIndex = new ArrayList<>();

  public BackendIndex(BiFunction<K, Integer, S> maker) {
    this.maker = maker;
  }

  public S get(int index) {
    return byIndex.get(index);
  }

  /** The backend of this id, or null. */
  public S find(K id) {
    return byId.get(id);
  }

  /** The backend of this id, admitted if it is new; still gone until it is met. */
  public S getOrAdd(K id) {
    S known = byId.get(id);
    if (known != null) {
      return known;
    }
    int index = byIndex.size();
    for (S old : byIndex) {
      if (isGone(old) && !old.hasWorkInFlight()) {
        index = old.index;
        byId.remove(old.id);
        break;
      }
    }
    S srv = maker.apply(id, index);
    if (index == byIndex.size()) {
      byIndex.add(srv);
    } else {
      byIndex.set(index, srv);
    }
    byId.put(id, srv);
    return srv;
  }

  private static boolean isGone(Backend<?> srv) {
    return srv.unlisted;
  }

  /** The srv is on the list; says whether it was not before. */
  public boolean markListed(S srv) {
    boolean fresh = isGone(srv);
    ((Backend<K>) srv).unlisted = false;
    return fresh;
  }

  /** The srv has left the list; says whether it was on it. */
  public boolean markUnlisted(S srv) {
    boolean was = srv != null && !isGone(srv);
    if (was) {
      ((Backend<K>) srv).unlisted = true;
    }
    return was;
  }

  /** How many are on the list. */
  public int listedCount() {
    return (int) byIndex.stream().filter(srv -> !isGone(srv)).count();
  }

  /** How many of those on the list have this index or a greater one. */
  public int listedCountFrom(int index) {
    return (int) byIndex.stream().skip(index).filter(srv -> !isGone(srv)).count();
  }

  /** Those on the list that are not named. */
  public List<S> listedExcept(Set<?> named) {
    return byIndex.stream().filter(srv -> !isGone(srv) && !named.contains(srv.id)).toList();
  }

  public void clear() {
    byId.clear();
    byIndex.clear();
  }
}
