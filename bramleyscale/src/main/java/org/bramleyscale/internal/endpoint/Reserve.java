package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An entry asks an owner to hold memory; repeated while it waits, which changes nothing
 * but shows that it still waits.
 *
 * @param endpoint the engine
 * @param hold the hold's id, chosen by the entry and unique on the engine
 * @param kvTokens how much memory, in tokens
 */
public record Reserve(EndpointId endpoint, String hold, long kvTokens) implements PeerMessage {
}
