package wheattrack.net;

import java.util.ArrayList;
import java.util.List;
import wheattrack.core.Deadlines;
import wheattrack.port.Port;
import wheattrack.port.Req;

/** A req at the door: who asked, what was sent for it and what the module left for it. */
final class Guest {
  final Client client;
  final Wire.Call call;
  final List<Dispatch> dispatches = new ArrayList<>(2);
  int slot;
  Req req;
  Deadlines.Entry guard;
  Port.Held held;

  /** Of a long req, what of its body is still to come when it is taken; else null. */
  Body body;

  boolean over;

  Guest(Client client, Wire.Call call) {
    this.client = client;
    this.call = call;
  }
}
