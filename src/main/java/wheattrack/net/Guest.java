package wheattrack.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheattrack.core.Deadlines;
import wheattrack.port.Port;
import wheattrack.port.Req;

/** A req at the door: who asked, what was sent for it and what the module left for it. */
final class Guest {
    final Client client;
    final Wire.Call call;
    final List<Dispatch> dispatches = new ArrayList<>(2);
    private final Consumer<Guest> onLeft;
    int slot;
    Req req;
    Deadlines.Entry guard;
    Port.Held held;
    boolean over;

    Guest(Client client, Wire.Call call, Consumer<Guest> onLeft) {
        this.client = client;
        this.call = call;
        this.onLeft = onLeft;
    }

    void left() {
        onLeft.accept(this);
    }
}
