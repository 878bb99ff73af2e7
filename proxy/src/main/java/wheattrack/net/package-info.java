/**
 * Starts, runs and ends one proxy process: its phases, the handover between two processes,
 * reloading of the configuration, the warm-up of the JVM and the training of its class archive. May
 * depend on its subpackages and on all lower layers; none of them depends on this package.
 */
package wheattrack.net;
