/**
 * Starts, runs and ends one proxy process: its phases, the handover between two processes,
 * reloading of the configuration, and the runs that prepare the JVM. May depend on every package
 * below it; none of them depends on this one.
 */
package wheattrack.net;
