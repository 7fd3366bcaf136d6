package org.bramleyscale.internal.gateway.follow;

import org.bramleyscale.Incarnation;

/**
 * The timestamps of a message: when it was sent, and an echo of the last message that the
 * sender received from the addressee.
 *
 * <p>
 * Times are ms on the monotonic clock of the daemon named, whose origin is arbitrary.
 * Immutable and safe for use by multiple threads.
 *
 * @param sentMillis when it was sent, by the sender's clock
 * @param addressee the incarnation of the addressee from which the sender last received a
 * message, or null if there was none or if the message has several addressees
 * @param echoedMillis when that last message of the addressee was sent, by the
 * addressee's clock
 * @param heldMillis the time since the sender received it
 */
public record SendingTimes(long sentMillis, Incarnation addressee, long echoedMillis, long heldMillis) {
}
