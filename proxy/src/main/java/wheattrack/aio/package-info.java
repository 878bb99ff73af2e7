/**
 * The event loop, which is the one thread that runs the proxy, and a TCP connection on it, based on
 * asynchronous NIO.2 channels. The package may depend on {@code core} only.
 */
package wheattrack.aio;
