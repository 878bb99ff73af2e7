/**
 * Connections with clients: the listening socket, client connections with their timeouts and
 * eviction, and the reading of request bodies. May depend on {@code protocol}; depends neither on
 * backends nor on how requests are handled.
 */
package wheattrack.net.client;
