package wheattrack.lab.load;

import wheattrack.lab.scenario.Scenario.Workload;

/**
 * The properties of a request, drawn before it is sent.
 *
 * @param workload the workload that it belongs to
 * @param work the work, in tenths of a millisecond at a backend of speed 1
 * @param hint the cost hint that the client sends, in tenths of a millisecond, 0 for none
 * @param weight what an answer is worth: the class's priority weight times the work
 */
public record RequestPlan(Workload workload, double work, double hint, double weight) {}
