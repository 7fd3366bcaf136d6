package org.bramleyscale.internal.gateway.follow;

import org.bramleyscale.Incarnation;

/**
 * When a message was sent, and what the sender last heard of the one that it is for.
 *
 * <p>
 * Times are ms on the monotonic clock of the daemon named, from any moment. Immutable and
 * safe for use by multiple threads.
 *
 * @param sentMillis when it was sent, by the sender's clock
 * @param heard the addressee as the sender last heard it, or null if it never did or if
 * the message is for many
 * @param heardSentMillis when that last message of the addressee was sent, by the
 * addressee's clock
 * @param heldMillis for how long the sender has had it
 */
public record SendingTimes(long sentMillis, Incarnation heard, long heardSentMillis, long heldMillis) {
}
