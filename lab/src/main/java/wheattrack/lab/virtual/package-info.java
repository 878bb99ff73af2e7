/**
 * Runs on a virtual clock in one thread: the policy of the proxies, or a baseline, behind simulated
 * proxies and links.
 */
package wheattrack.lab.virtual;
