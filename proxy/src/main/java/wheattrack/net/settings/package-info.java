/**
 * Settings that change while the proxy serves: the subscription to their source, and the step that
 * puts them in force. May depend on {@code backend} and {@code discovery}.
 */
package wheattrack.net.settings;
