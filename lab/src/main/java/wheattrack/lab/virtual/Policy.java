package wheattrack.lab.virtual;

import wheattrack.api.EndpointUpdate;
import wheattrack.api.PendingRequest;
import wheattrack.api.PolicyRuntime;
import wheattrack.api.RequestHandle;

/**
 * What makes the decisions of one proxy of a virtual run: the proxies' own policy, or a baseline to
 * compare it with.
 */
interface Policy {
  /** The endpoint list has named a backend, or changed its entry. */
  void updateBackend(EndpointUpdate update);

  /** The backend of this index has left the endpoint list. */
  void removeBackend(int index);

  /**
   * All updates have been passed on that arrived together.
   *
   * @param cached whether they are the list that the proxy had before it was started
   */
  void endpointListUpdated(boolean cached);

  /** The watch of the endpoint list is lost. */
  void endpointListFailed();

  /** A request has arrived. */
  RequestHandle accept(PendingRequest request);

  /** Creates the policies of proxies. */
  interface Factory {
    /** Creates the policy of a proxy that starts. */
    Policy create(PolicyRuntime runtime, long seed, int proxyIndex);
  }
}
