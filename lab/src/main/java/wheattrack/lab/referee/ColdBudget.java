package wheattrack.lab.referee;

import java.util.ArrayDeque;

/**
 * What a server that has just started bears: within any window of the fall time, work up to the fall
 * multiple of what it can do at that moment over that window. Pure; times in tenths of a millisecond.
 */
public final class ColdBudget {
    private record Load(long at, double work, boolean knowing) {
    }

    private final double multiple;
    private final long window;
    private final ArrayDeque<Load> loads = new ArrayDeque<>();
    private double sum, knowing;

    public ColdBudget(double multiple, long window) {
        this.multiple = multiple;
        this.window = window;
    }

    /** It has started anew: what came before no longer weighs. */
    public void clear() {
        loads.clear();
        sum = knowing = 0;
    }

    /**
     * Work comes while it can do so much a unit of time; known: the sender had been told of the start. Says
     * whether the server falls over; one req alone never does that, however heavy.
     */
    public boolean add(long at, double work, double capacity, boolean known) {
        while (!loads.isEmpty() && loads.peek().at <= at - window) {
            Load old = loads.poll();
            sum -= old.work;
            knowing -= old.knowing ? old.work : 0;
        }
        boolean over = !loads.isEmpty() && sum > multiple * capacity * window;
        loads.add(new Load(at, work, known));
        sum += work;
        knowing += known ? work : 0;
        return over;
    }

    /** Whether two thirds of the load came from senders that knew: then it is their fault. */
    public boolean isBreak() {
        return knowing >= sum * 2 / 3;
    }
}
