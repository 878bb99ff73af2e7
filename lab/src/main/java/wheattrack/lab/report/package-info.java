/** The verdict of a run as JSON lines and as a self-contained HTML page. */
package wheattrack.lab.report;
