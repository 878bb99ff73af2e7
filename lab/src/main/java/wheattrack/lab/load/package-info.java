/**
 * The load of a run: arrival times, request plans, and the seeded random streams from which both
 * are drawn.
 */
package wheattrack.lab.load;
