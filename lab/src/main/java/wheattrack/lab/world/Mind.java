package wheattrack.lab.world;

import wheattrack.port.Port;
import wheattrack.port.Req;

/**
 * What decides for one proxy of the virtual world: the decision module, or a baseline to compare it
 * with.
 */
interface Mind {
  /** The list tells of a server. */
  void entry(
      int at,
      long name,
      boolean ready,
      int zone,
      int pack,
      int kind,
      double weight,
      long up,
      boolean fresh);

  void gone(int at);

  void listed(boolean saved);

  void listFailed();

  Port.Held arrive(Req req);

  /** Makes one for a proxy that starts. */
  interface Maker {
    Mind make(Port port, long seed, int me);
  }
}
