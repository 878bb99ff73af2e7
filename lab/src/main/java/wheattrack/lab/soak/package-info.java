/**
 * The soak: one proxy as a process under seeded shutdowns, signals and crowds, with clients that
 * use each open connection until the proxy is killed, judged by the operators' rules. Does not
 * depend on the lab's scenarios.
 */
package wheattrack.lab.soak;
