/**
 * The simulated backends, clients, endpoint list and timeline of faults. They depend on neither the
 * clock nor the links, so that runs on the virtual clock and on sockets share them.
 */
package wheattrack.lab.model;
