/**
 * The commands of the lab, which play scenarios, compare policies, and measure the cost of the lab
 * and of the control work.
 */
package wheattrack.lab;
