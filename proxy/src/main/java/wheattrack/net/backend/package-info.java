/**
 * Connections to backends, one pool of them for each backend, and the attempts that wait for and
 * use them. May depend on {@code protocol}; depends neither on clients nor on the endpoint list.
 */
package wheattrack.net.backend;
