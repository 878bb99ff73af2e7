package wheattrack.net;

import wheattrack.core.Deadlines;
import wheattrack.http.Request;
import wheattrack.http.Response;
import wheattrack.port.Outcome;

/** One dispatch of a req, or a probe, from its sending to its one outcome. */
abstract class Dispatch {
    final Backend backend;
    final Request request;
    final long sent;
    Deadlines.Entry timeout;
    Upstream on;
    private boolean over;

    Dispatch(Backend backend, Request request, long sent) {
        this.backend = backend;
        this.request = request;
        this.sent = sent;
    }

    final boolean isOver() {
        return over;
    }

    /** Ends it, once; a connection that still carries it is closed. */
    final void end(Outcome how, Response answer) {
        if (over) {
            return;
        }
        over = true;
        backend.loop.cancel(timeout);
        backend.out--;
        if (on != null && on.carried() == this) {
            on.close();
        } else {
            backend.forget(this);
        }
        ended(how, answer);
    }

    protected abstract void ended(Outcome how, Response answer);
}
