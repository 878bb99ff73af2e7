/** Operating system resources that several commands of the lab use: processes and directories. */
package wheattrack.lab.process;
