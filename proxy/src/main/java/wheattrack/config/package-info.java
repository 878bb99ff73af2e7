/**
 * Reads and validates configuration files, settings updates and other JSON objects, and maps their
 * keys to the types that the policy acts on. Of this project it may use the module of the policy
 * only; it has no sockets.
 */
package wheattrack.config;
