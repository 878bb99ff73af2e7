package wheattrack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import wheattrack.aio.Loop;
import wheattrack.core.Fleet;
import wheattrack.port.Outcome;

/** A backend at the door: its address, the connections to it and the dispatches that wait for one. */
final class Backend extends Fleet.Srv<String> {
    final Loop loop;
    private final Dialler dialler;
    private final Deque<Upstream> idle = new ArrayDeque<>();
    private final Deque<Dispatch> waiting = new ArrayDeque<>();
    private int dialling;
    InetSocketAddress address;
    int out;
    private boolean serving;
    private long up;

    Backend(String id, int at, Dialler dialler) {
        super(id, at);
        this.dialler = dialler;
        loop = dialler.loop;
    }

    @Override
    protected boolean isBusy() {
        return out > 0;
    }

    /** It stands on the list, at this address since then; what leads to an earlier life is closed. */
    void serves(InetSocketAddress at, long since) {
        serving = true;
        up = since;
        boolean moved = !at.equals(address);
        address = at;
        List.copyOf(idle).stream().filter(up -> moved || up.since < since).forEach(Upstream::close);
    }

    boolean isServing() {
        return serving;
    }

    /** Whether this life of it, begun then, drains or is gone by what was told. */
    boolean hasLeft(long since) {
        return !serving && since <= up;
    }

    /** It drains or is gone: what is not yet begun there never will be. */
    void leaves() {
        serving = false;
        List.copyOf(idle).forEach(Upstream::close);
        for (Dispatch d : List.copyOf(waiting)) {
            loop.step(() -> d.giveUp(Outcome.MOOT));
        }
    }

    /** Closes what carries nothing now. */
    void hangUp() {
        List.copyOf(idle).forEach(Upstream::close);
    }

    /** Carries it on the connection used last, or on the first that is free or up. */
    void carry(Dispatch d) {
        out++;
        Upstream free = idle.pollLast();
        if (free != null) {
            free.carry(d);
            return;
        }
        waiting.add(d);
        if (dialling < waiting.size()) {
            dial(d);
        }
    }

    void forget(Dispatch d) {
        waiting.remove(d);
    }

    private void dial(Dispatch d) {
        try {
            dialler.dial(this);
            dialling++;
        } catch (IOException e) {
            loop.step(() -> d.giveUp(Outcome.MOOT));
        }
    }

    void dialled(Upstream up) {
        dialling--;
        free(up);
    }

    void dialFailed() {
        dialling--;
        if (waiting.size() > dialling) {
            waiting.peekFirst().end(Outcome.NO_CONNECT, null);
        }
    }

    /** A connection is free for the next dispatch. */
    void free(Upstream up) {
        Dispatch first = waiting.pollFirst();
        while (first != null && loop.now() >= first.latest) {
            first.giveUp(Outcome.MOOT);
            first = waiting.pollFirst();
        }
        if (first != null) {
            up.carry(first);
        } else if (!serving) {
            up.close();
        } else {
            idle.addLast(up);
            up.rest();
        }
    }

    void closed(Upstream up) {
        idle.remove(up);
    }
}
