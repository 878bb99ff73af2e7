/**
 * Runs the policy for the operators' simulator: reads its events, runs one policy per proxy and
 * writes the policy's actions as messages. This package may use {@link wheattrack.config} and
 * {@link wheattrack.core}, and no sockets.
 */
package wheattrack.simulator;
