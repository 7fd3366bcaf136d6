package org.bramleyscale.internal.gateway.request;

/**
 * One header of a request or an answer.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param name the name as it was spelled
 * @param value the value
 */
public record Header(String name, String value) {
}
