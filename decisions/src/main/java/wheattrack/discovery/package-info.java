/** When a failed call to the discovery service is repeated: backoff with jitter. */
package wheattrack.discovery;
