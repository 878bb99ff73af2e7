/**
 * HTTP/1.1 codecs: they turn received bytes into typed messages and messages into bytes. The
 * package uses no channels and depends on no other package of the program, so that it is tested
 * without sockets. A decoder belongs to one connection and runs on the event loop's thread only.
 */
package wheattrack.http;
