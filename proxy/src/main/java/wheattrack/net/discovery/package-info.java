/**
 * The endpoint list: the watch on the discovery service, the parser of its events, and the table of
 * backends that the events update. May depend on {@code backend}.
 */
package wheattrack.net.discovery;
