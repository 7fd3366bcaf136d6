package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;

/**
 * What one daemon has used of the retry budget of a service.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param requests its requests in the window
 * @param retries its retries in the window
 * @param pending those of the retries that aren't answered yet
 * @param share its share of the constant
 * @param age the time since the daemon started
 */
public record RetryUsage(int requests, int retries, int pending, double share, Duration age) {
}
