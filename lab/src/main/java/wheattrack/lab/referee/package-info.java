/**
 * The ledger of a run and the referee that judges it by four rules and measures the service. The
 * records are those of backends, clients and the run itself, never of a proxy.
 */
package wheattrack.lab.referee;
