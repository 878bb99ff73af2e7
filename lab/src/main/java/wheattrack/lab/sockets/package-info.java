/**
 * Runs on loopback sockets in real time: proxies as processes of their own, and backends,
 * discovery, clients and faulty links in this one.
 */
package wheattrack.lab.sockets;
