/**
 * Handling of requests between their client and their backends, and the policy's runtime on
 * sockets. May depend on all other packages below {@code wheattrack.net}; only {@code
 * wheattrack.net} itself depends on it.
 */
package wheattrack.net.request;
