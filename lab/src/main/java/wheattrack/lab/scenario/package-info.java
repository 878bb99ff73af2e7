/**
 * Scenario files: a strict reader of their TOML, the immutable values that it gives, and the
 * settings that follow from them for the proxies.
 */
package wheattrack.lab.scenario;
