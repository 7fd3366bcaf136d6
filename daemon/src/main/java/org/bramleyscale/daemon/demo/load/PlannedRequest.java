package org.bramleyscale.daemon.demo.load;

/**
 * One request that the load makes.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param number counts the requests of the load from 1
 * @param workload its kind
 * @param content the prompt, or the booking as JSON
 * @param promptTokens about how many tokens the prompt has; 0 for a booking
 */
public record PlannedRequest(int number, Workload workload, String content, int promptTokens) {

}
