/**
 * The operators' HTTP protocol: paths, headers and statuses, mapped to typed requests and outcomes
 * and back. Depends on no other package of {@code wheattrack.net}.
 */
package wheattrack.net.protocol;
