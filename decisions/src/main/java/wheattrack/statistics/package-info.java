/**
 * Statistics that the policy's measurements are built from: seeded random numbers, a linear
 * regression whose old samples decay, and decaying counters. Independent of load balancing.
 */
package wheattrack.statistics;
