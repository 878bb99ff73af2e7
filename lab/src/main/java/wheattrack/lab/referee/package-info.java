/**
 * The ledger of a run and its judgement: four rules and the metrics of the service, from what
 * backends and clients have recorded and never from what a proxy says.
 */
package wheattrack.lab.referee;
