/**
 * The side of the clients: the listening socket, client connections with their timeouts and
 * eviction, and the reading of request bodies. May depend on {@code protocol}; knows neither
 * backends nor what becomes of a request.
 */
package wheattrack.net.client;
