package wheattrack.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import wheattrack.lab.load.RandomStream;
import wheattrack.lab.load.RequestGenerator;
import wheattrack.lab.load.RequestGenerator.HintModel;
import wheattrack.lab.referee.LedgerRecord;
import wheattrack.lab.referee.LedgerRecord.State;
import wheattrack.lab.scenario.Fault;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.scenario.Scenario.Hints;

/**
 * Begins and ends a scenario's faults at their times, on the virtual clock or on sockets. Times are
 * tenths of a millisecond. Runs on the run's thread only.
 */
public final class FaultTimeline {
  /** Time from the start of a backend's drain until its process ends. */
  private static final long DRAIN_TIME = 2 * Scenario.SECOND;

  /** Time from the end of a backend's process until its replacement starts. */
  private static final long REPLACEMENT_DELAY = Scenario.SECOND;

  private final RunEnvironment environment;

  private FaultTimeline(RunEnvironment environment) {
    this.environment = environment;
  }

  /** Schedules all faults of the scenario. */
  public static void schedule(RunEnvironment environment) {
    RandomStream random = environment.randomStream("faults");
    FaultTimeline timeline = new FaultTimeline(environment);
    List<Fault> faults = environment.scenario().faults();
    for (int index = 0; index < faults.size(); index++) {
      Fault fault = faults.get(index);
      timeline.scheduleFault(index, fault, timeline.targets(fault, random));
    }
  }

  private void scheduleFault(int index, Fault fault, List<Integer> targets) {
    environment.schedule(
        fault.startsAt(),
        () -> {
          environment.record(LedgerRecord.faultChanged(environment.now(), index, true));
          begin(fault, targets);
          if (fault.duration() > 0) {
            environment.schedule(
                fault.duration(),
                () -> {
                  environment.record(LedgerRecord.faultChanged(environment.now(), index, false));
                  end(fault, targets);
                });
          }
        });
  }

  private List<Integer> targets(Fault fault, RandomStream random) {
    if (fault.kind().hitsProxies()) {
      return chooseTargets(fault, environment.proxies().size(), random);
    }
    if (fault.kind().hitsBackends()) {
      return chooseTargets(fault, environment.backends().size(), random);
    }
    return List.of();
  }

  /** The indexes of the targets of a fault, drawn without replacement. */
  private List<Integer> chooseTargets(Fault fault, int population, RandomStream random) {
    Fault.Target target = fault.target();
    if (target.index() >= 0) {
      return List.of(target.index());
    }
    List<Integer> candidates = new ArrayList<>();
    for (int index = 0; index < population; index++) {
      if (target.zone() < 0 || environment.scenario().zoneOf(index) == target.zone()) {
        candidates.add(index);
      }
    }
    List<Integer> targets = new ArrayList<>();
    int count = target.count(candidates.size());
    while (targets.size() < count) {
      targets.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return targets;
  }

  private void forEachProxy(List<Integer> targets, Consumer<ProxyHandle> action) {
    targets.forEach(index -> action.accept(environment.proxy(index)));
  }

  private void forEachBackend(List<Integer> targets, Consumer<SimulatedBackend> action) {
    targets.forEach(index -> action.accept(environment.backend(index)));
  }

  private void begin(Fault fault, List<Integer> targets) {
    double magnitude = fault.magnitude();
    switch (fault.kind()) {
      case KILL_PROXY -> forEachProxy(targets, this::killProxy);
      case STOP_PROXY -> forEachProxy(targets, proxy -> proxy.setPaused(true));
      case CLOCK_PROXY -> forEachProxy(targets, proxy -> restartWithSkew(proxy, magnitude));
      case CRASH -> forEachBackend(targets, this::crash);
      case VANISH -> forEachBackend(targets, this::vanish);
      case HANG -> forEachBackend(targets, SimulatedBackend::hang);
      case SLOW -> forEachBackend(targets, backend -> backend.setSlowdown(magnitude));
      case FAIL -> forEachBackend(targets, backend -> backend.setFailureShare(magnitude));
      case PAUSE -> {
        long until = environment.now() + fault.duration();
        forEachBackend(targets, backend -> pauseRepeatedly(backend, fault, until));
      }
      case DRAIN -> targets.forEach(this::drain);
      case SHRINK -> terminateInTurn(fault, targets, index -> {});
      case REPLACE -> terminateInTurn(fault, targets, this::scheduleReplacement);
      case LIST_DOWN -> environment.registry().setDown(true);
      case LIST_STALE -> environment.registry().setStale(true);
      case LIST_EMPTY -> environment.registry().setEmpty(true);
      case LINK_DELAY, LINK_DROP, LINK_HOLD, LINK_CUT, LINK_RESET, LINK_CORRUPT ->
          targets.forEach(index -> environment.setLinkFault(fault, index, true));
      case BURST -> environment.clients().arrivals().setRateFactor(magnitude);
      default -> beginHintFault(fault);
    }
  }

  private void beginHintFault(Fault fault) {
    RequestGenerator generator = environment.clients().requestGenerator();
    double magnitude = fault.magnitude();
    switch (fault.kind()) {
      case HINT_SHARE -> generator.setHintShare(fault.target().index(), magnitude);
      case HINT_SCALE -> generator.setHintScale(magnitude);
      case HINT_NOISE -> generator.setHintNoise(magnitude);
      case HINT_CONSTANT -> generator.useConstantHints(magnitude * Scenario.MILLISECOND);
      case HINT_RANDOM -> generator.setHintModel(HintModel.RANDOM);
      case HINT_INVERTED -> generator.setHintModel(HintModel.INVERTED);
      case HINT_MIXED -> generator.setMixedUnitShare(magnitude);
      case HINT_ABSURD -> generator.setNextHint(magnitude * Scenario.MILLISECOND);
      default -> throw new IllegalStateException("no action for fault kind " + fault.kind());
    }
  }

  private void end(Fault fault, List<Integer> targets) {
    switch (fault.kind()) {
      case KILL_PROXY -> forEachProxy(targets, FaultTimeline::startIfDown);
      case STOP_PROXY -> forEachProxy(targets, proxy -> proxy.setPaused(false));
      case CLOCK_PROXY -> forEachProxy(targets, proxy -> proxy.setClockSkew(0));
      case CRASH, VANISH -> targets.forEach(index -> start(index, false));
      case HANG -> forEachBackend(targets, SimulatedBackend::resume);
      case SLOW -> forEachBackend(targets, backend -> backend.setSlowdown(1));
      case FAIL -> forEachBackend(targets, backend -> backend.setFailureShare(0));
      case DRAIN -> targets.forEach(this::terminate);
      case LIST_DOWN -> environment.registry().setDown(false);
      case LIST_STALE -> environment.registry().setStale(false);
      case LIST_EMPTY -> environment.registry().setEmpty(false);
      case LINK_DELAY, LINK_DROP, LINK_HOLD, LINK_CUT, LINK_RESET, LINK_CORRUPT ->
          targets.forEach(index -> environment.setLinkFault(fault, index, false));
      case BURST -> environment.clients().arrivals().setRateFactor(1);
      default -> endHintFault(fault);
    }
  }

  /**
   * Restores the scenario's own hints. Does nothing for kinds of faults that end without an action.
   */
  private void endHintFault(Fault fault) {
    RequestGenerator generator = environment.clients().requestGenerator();
    Hints hints = environment.scenario().hints();
    switch (fault.kind()) {
      case HINT_SHARE -> generator.setHintShare(-1, hints.share());
      case HINT_SCALE -> generator.setHintScale(hints.scale());
      case HINT_NOISE -> generator.setHintNoise(hints.noise());
      case HINT_MIXED -> generator.setMixedUnitShare(0);
      case HINT_CONSTANT, HINT_RANDOM, HINT_INVERTED ->
          generator.setHintModel(HintModel.PROPORTIONAL);
      default -> {
        // PAUSE, SHRINK, REPLACE and HINT_ABSURD need no action at their end
      }
    }
  }

  /**
   * Kills a proxy. The clients' front load balancer stops using it after its detection time, unless
   * the proxy has been started again by then.
   */
  private void killProxy(ProxyHandle proxy) {
    if (proxy.isUp()) {
      proxy.kill();
      proxy.scheduleInIncarnation(
          environment.scenario().frontDetectionDelay(),
          () -> environment.clients().setProxyAvailable(proxy, false));
    }
  }

  private static void startIfDown(ProxyHandle proxy) {
    if (!proxy.isUp()) {
      proxy.start();
    }
  }

  private void restartWithSkew(ProxyHandle proxy, double millis) {
    proxy.kill();
    environment.clients().setProxyAvailable(proxy, false);
    proxy.setClockSkew(millis);
    proxy.start();
  }

  private void crash(SimulatedBackend backend) {
    environment.registry().scheduleFailureDetection(backend);
    backend.crash();
  }

  private void vanish(SimulatedBackend backend) {
    environment.registry().scheduleFailureDetection(backend);
    backend.vanish();
  }

  private void pauseRepeatedly(SimulatedBackend backend, Fault fault, long until) {
    if (environment.now() < until) {
      backend.pauseFor(Math.round(fault.magnitude() * Scenario.MILLISECOND));
      environment.schedule(fault.interval(), () -> pauseRepeatedly(backend, fault, until));
    }
  }

  private void drain(int backendIndex) {
    SimulatedBackend backend = environment.backend(backendIndex);
    backend.drain();
    long startedAt = backend.isColdStarted() ? backend.startedAt() : EndpointRegistry.LONG_AGO;
    environment.registry().update(backendIndex, State.DRAINING, startedAt);
  }

  private void terminate(int backendIndex) {
    SimulatedBackend backend = environment.backend(backendIndex);
    if (backend.isDraining()) {
      backend.crash();
      environment.registry().update(backendIndex, State.GONE, 0);
    }
  }

  /**
   * Drains the backends one after the other, spread evenly over the fault's duration, and ends each
   * of them {@link #DRAIN_TIME} after its drain began.
   *
   * @param afterwards runs with the index of each backend after its end
   */
  private void terminateInTurn(Fault fault, List<Integer> targets, IntConsumer afterwards) {
    for (int position = 0; position < targets.size(); position++) {
      int backendIndex = targets.get(position);
      environment.schedule(
          fault.duration() * position / targets.size(),
          () -> {
            drain(backendIndex);
            environment.schedule(
                DRAIN_TIME,
                () -> {
                  terminate(backendIndex);
                  afterwards.accept(backendIndex);
                });
          });
    }
  }

  private void scheduleReplacement(int backendIndex) {
    environment.schedule(REPLACEMENT_DELAY, () -> start(backendIndex, true));
  }

  /**
   * Starts a backend cold, unless it is up or has collapsed.
   *
   * @param asReplacement whether it starts under a new id, which no proxy has received before;
   *     otherwise it restarts under its old id, with a later start time
   */
  private void start(int backendIndex, boolean asReplacement) {
    SimulatedBackend backend = environment.backend(backendIndex);
    if (backend.state() != SimulatedBackend.State.UP && !backend.isCollapsed()) {
      if (asReplacement) {
        backend.replace();
      }
      backend.start(true);
      environment.registry().update(backendIndex, State.READY, backend.startedAt());
    }
  }
}
