/**
 * Soak runs: one proxy as a process of its own under shutdowns, signals and crowds of idle clients
 * that are drawn from a seed. Its clients use each open connection until the proxy is killed; the
 * outcomes are compared with the operators' rules. Does not depend on the lab's scenarios.
 */
package wheattrack.lab.soak;
