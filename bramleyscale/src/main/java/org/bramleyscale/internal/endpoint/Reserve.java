package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An entry's request to an owner to hold memory. It is repeated while the entry waits;
 * the repetition is idempotent and shows the owner that the entry still waits.
 *
 * @param endpoint the engine
 * @param hold the hold's id, chosen by the entry and unique on the engine
 * @param kvTokens the amount of memory, in tokens
 */
public record Reserve(EndpointId endpoint, String hold, long kvTokens) implements PeerMessage {
}
