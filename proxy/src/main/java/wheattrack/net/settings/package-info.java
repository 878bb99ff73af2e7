/**
 * Settings that change while the proxy serves: the subscription to their source, and their
 * application to the policy. May depend on {@code backend} and {@code discovery}.
 */
package wheattrack.net.settings;
