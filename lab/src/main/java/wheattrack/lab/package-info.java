/**
 * The commands of the lab: they play scenarios, compare policies and measure what the lab and the
 * control plane cost.
 */
package wheattrack.lab;
