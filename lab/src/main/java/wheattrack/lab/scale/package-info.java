/**
 * The command {@code lab scale}: measures what the control plane costs by the number of backends,
 * rule sets, tenants and proxies.
 */
package wheattrack.lab.scale;
