package wheattrack.lab.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wheattrack.api.AttemptOutcome;
import wheattrack.api.EndpointUpdate;
import wheattrack.api.Idempotency;
import wheattrack.api.LoadBalancer;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.scenario.Scenario;

/**
 * A well-known load-balancing algorithm as a baseline for the proxies' policy. It retries only
 * attempts that never ran and idempotent requests, so that it obeys the referee's rules on effects
 * and on draining backends.
 */
final class BaselinePolicy implements LoadBalancer {
  private static final int NONE = -1;

  /** Backends for which there is space at first; the array grows as needed. */
  private static final int INITIAL_BACKENDS = 16;

  /** Delay before the endpoint list is watched again. */
  private static final long WATCH_BACKOFF = Scenario.SECOND;

  private final Policies.Kind kind;
  private final PolicyRuntime runtime;
  private final RandomStream random;
  private final int maxAttempts;
  private final List<Integer> readyBackends = new ArrayList<>();
  private int[] attemptsInFlight = new int[INITIAL_BACKENDS];
  private int nextPosition;

  BaselinePolicy(Policies.Kind kind, PolicyRuntime runtime, RandomStream random, int maxAttempts) {
    this.kind = kind;
    this.runtime = runtime;
    this.random = random;
    this.maxAttempts = maxAttempts;
  }

  @Override
  public void updateBackend(EndpointUpdate update) {
    int index = update.index();
    if (index >= attemptsInFlight.length) {
      attemptsInFlight = Arrays.copyOf(attemptsInFlight, 2 * index);
    }
    removeBackend(index);
    if (update.ready()) {
      readyBackends.add(index);
    }
  }

  @Override
  public void removeBackend(int index) {
    readyBackends.remove((Integer) index);
  }

  @Override
  public void endpointListUpdated(boolean cached) {
    // nothing is computed in advance
  }

  @Override
  public void endpointListFailed(boolean answered) {
    runtime.schedule(WATCH_BACKOFF, runtime::watchEndpoints);
  }

  @Override
  public RequestHandle accept(PendingRequest request) {
    BaselineRequest accepted = new BaselineRequest(request);
    accepted.sendNext(NONE);
    return accepted;
  }

  /**
   * Picks a ready backend by the algorithm; the avoided one only if no other is ready. Returns
   * {@link #NONE} if no backend is ready.
   */
  private int pick(int avoided) {
    int best = NONE;
    int count = readyBackends.size();
    for (int i = 0; i < count; i++) {
      int candidate = readyBackends.get(candidatePosition(i, count));
      if (candidate == avoided && count > 1) {
        continue;
      }
      if (kind == Policies.Kind.RANDOM || kind == Policies.Kind.ROUND_ROBIN) {
        return candidate;
      }
      if (best == NONE || attemptsInFlight[candidate] < attemptsInFlight[best]) {
        best = candidate;
      }
      if (kind == Policies.Kind.POWER_OF_TWO_CHOICES && i >= 1) {
        return best;
      }
    }
    return best;
  }

  private int candidatePosition(int position, int count) {
    return switch (kind) {
      case ROUND_ROBIN -> nextPosition++ % count;
      case LEAST_IN_FLIGHT -> position;
      default -> random.nextInt(count);
    };
  }

  /** One request, whose attempts are made one after the other. */
  private final class BaselineRequest implements RequestHandle {
    private final PendingRequest request;
    private int attempts;
    private boolean hasEnded;
    private boolean mayHaveRun;

    BaselineRequest(PendingRequest request) {
      this.request = request;
    }

    void sendNext(int avoided) {
      int backend = pick(avoided);
      if (backend == NONE || attempts >= maxAttempts || runtime.now() >= request.deadline()) {
        giveUp();
        return;
      }
      attempts++;
      attemptsInFlight[backend]++;
      runtime.sendAttempt(
          request,
          backend,
          0,
          (outcome, latency, requestEnded) -> attemptEnded(backend, outcome, requestEnded));
    }

    private void giveUp() {
      hasEnded = true;
      if (!mayHaveRun || isIdempotent()) {
        runtime.reject(request, 0);
      } else {
        runtime.fail(request);
      }
    }

    private void attemptEnded(int backend, AttemptOutcome outcome, boolean requestEnded) {
      attemptsInFlight[backend]--;
      mayHaveRun |= !outcome.neverRan();
      if (hasEnded || requestEnded) {
        hasEnded = true;
      } else if (!isIdempotent() && mayHaveRun) {
        hasEnded = true;
        runtime.fail(request);
      } else {
        sendNext(backend);
      }
    }

    private boolean isIdempotent() {
      return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    }

    @Override
    public void streamingStarted(int attempt) {
      // virtual backends do not stream
    }

    @Override
    public void clientDisconnected() {
      hasEnded = true;
    }
  }
}
