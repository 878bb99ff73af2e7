/**
 * Building blocks without I/O: timers, slots, dense indexes of backends, counters, transfer rates
 * and the phases of the process. The package depends on no other package of the program; none of
 * its classes is thread-safe, and all are used on the event loop's thread.
 */
package wheattrack.core;
