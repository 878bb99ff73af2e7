/**
 * The lines of the log: events with an id and a cause, their formats as text and as JSON, and the
 * limit on lines of each event per second. The package depends on no other package of the program;
 * any thread may write lines.
 */
package wheattrack.log;
