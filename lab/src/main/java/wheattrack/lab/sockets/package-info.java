/**
 * Runs on loopback sockets in real time: proxies as separate processes, and backends, discovery,
 * clients and faulty links in the lab's process.
 */
package wheattrack.lab.sockets;
