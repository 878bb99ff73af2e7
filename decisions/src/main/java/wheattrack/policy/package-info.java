/**
 * The load balancing decisions: which backend gets an attempt, whether a request is retried, hedged
 * or rejected, and which backends are ejected or warmed up slowly. State and measurement are kept
 * outside, in {@code wheattrack.state}; all I/O is behind {@code wheattrack.api}.
 */
package wheattrack.policy;
