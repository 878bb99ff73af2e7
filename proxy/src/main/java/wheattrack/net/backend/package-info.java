/**
 * The side of the backends: connections, one pool of them for each backend, and attempts that wait
 * for and use them. May depend on {@code protocol}; knows neither clients nor the endpoint list.
 */
package wheattrack.net.backend;
