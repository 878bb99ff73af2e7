/**
 * The event loop, whose single thread runs the proxy, and TCP connections on it, based on
 * asynchronous NIO.2 channels. The package may depend on {@code core} only.
 */
package wheattrack.aio;
