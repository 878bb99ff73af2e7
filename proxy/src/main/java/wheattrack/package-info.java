/**
 * The command line of the proxy and the set-up of its process: commands, logging, signals. May use
 * all other packages of this module; none of them may use this one.
 */
package wheattrack;
