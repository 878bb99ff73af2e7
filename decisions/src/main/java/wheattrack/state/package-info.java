/**
 * What the policy knows and measures: backends, requests and their attempts, costs, throughput,
 * waits and reported load. Nothing here decides; {@link wheattrack.state.PolicyState} holds the
 * state of one proxy.
 */
package wheattrack.state;
