/**
 * The simulated deployment without its clock and its links: backends, clients, endpoint list and
 * timeline of faults. Runs on the virtual clock and on sockets share it.
 */
package wheattrack.lab.model;
