/** Backoff with jitter between failed calls to the discovery service. */
package wheattrack.discovery;
