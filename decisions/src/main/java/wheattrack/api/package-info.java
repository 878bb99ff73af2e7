/**
 * The interfaces of the load-balancing policy: the one that adapters call ({@link
 * wheattrack.api.LoadBalancer}), the one that the policy calls ({@link
 * wheattrack.api.PolicyRuntime}), and the requests, outcomes, endpoint updates and settings that
 * pass between them.
 */
package wheattrack.api;
