/**
 * The life of a request between its client and its backends, and the policy's runtime on sockets.
 * May depend on all other packages below {@code wheattrack.net}; only {@code wheattrack.net} itself
 * depends on it.
 */
package wheattrack.net.request;
