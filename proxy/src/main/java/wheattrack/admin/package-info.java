/**
 * The HTTP server for operators, which answers with the status of the process and its metrics. The
 * package may depend on {@code aio}, {@code core}, {@code http} and {@code log}, and runs on the
 * event loop's thread only.
 */
package wheattrack.admin;
