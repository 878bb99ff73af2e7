package wheattrack.lab.virtual;

import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;

/**
 * What decides for one proxy of the virtual world: the decision module, or a baseline to compare it
 * with.
 */
interface Policy {
  /** The list tells of a server. */
  void updateBackend(EndpointUpdate update);

  void removeBackend(int index);

  void endpointListUpdated(boolean cached);

  void endpointListFailed();

  RequestHandle accept(PendingRequest req);

  /** Makes one for a proxy that starts. */
  interface Maker {
    Policy make(PolicyRuntime port, long seed, int me);
  }
}
