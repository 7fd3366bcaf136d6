package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;

/**
 * A reference to one hold, as sent by its holder.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 * @param kvTokens the memory held, in tokens
 */
public record HeldMemory(EndpointId endpoint, String hold, long kvTokens) {
}
