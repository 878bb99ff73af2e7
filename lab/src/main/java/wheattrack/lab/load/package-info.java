/**
 * What clients send, and when: arrival times, request plans, and the seeded random streams from
 * which both are drawn.
 */
package wheattrack.lab.load;
