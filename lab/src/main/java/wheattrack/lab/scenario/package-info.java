/**
 * Scenario files: a reader of their TOML that rejects unknown keys, the immutable values that it
 * returns, and the proxies' settings that are derived from them.
 */
package wheattrack.lab.scenario;
