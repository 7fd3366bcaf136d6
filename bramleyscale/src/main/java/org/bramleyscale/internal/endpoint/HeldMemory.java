package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;

/**
 * One hold as its holder names it.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 * @param kvTokens the memory held there
 */
public record HeldMemory(EndpointId endpoint, String hold, long kvTokens) {
}
