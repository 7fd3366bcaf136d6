package org.bramleyscale.internal.gateway.request;

/**
 * One header of a request or response.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param name the name in its original spelling
 * @param value the value
 */
public record Header(String name, String value) {
}
