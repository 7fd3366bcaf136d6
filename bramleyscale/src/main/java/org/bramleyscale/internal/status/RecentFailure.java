package org.bramleyscale.internal.status;

import java.time.Instant;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.Step;

/**
 * One request that did not complete.
 *
 * @param at when it ended
 * @param requestId its id; empty if it failed before it had one
 * @param code the reason
 * @param ran whether it ran
 * @param step the step at which it ended
 * @param peer the peer at which it ended
 * @param message the failure in words
 */
public record RecentFailure(Instant at, String requestId, ErrorCode code, Ran ran, Step step, String peer,
		String message) {

}
