/**
 * Leases on request ids that the processes of one proxy share, so that of two processes that
 * receive one id only one handles it.
 */
package wheattrack.net.lease;
