package wheattrack.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import wheattrack.api.LoadBalancer;

/** The backends by their dense index. Not thread-safe. */
public final class BackendTable {
  private final List<BackendState> backends = new ArrayList<>();
  private final List<BackendState> view = Collections.unmodifiableList(backends);

  /**
   * The backend of this index, which is created if it is new; index is below {@link
   * LoadBalancer#MAX_BACKENDS}.
   */
  public BackendState at(int index) {
    while (backends.size() <= index) {
      backends.add(new BackendState(backends.size()));
    }
    return backends.get(index);
  }

  /** All backends that were ever listed, by index; unmodifiable. */
  public List<BackendState> all() {
    return view;
  }

  /** The backends that take new requests according to the endpoint list, by id. */
  public BackendState[] readyInIdOrder() {
    return backends.stream()
        .filter(BackendState::isReady)
        .sorted(Comparator.comparingLong(BackendState::id))
        .toArray(BackendState[]::new);
  }
}
