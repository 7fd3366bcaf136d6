package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * KV memory that an engine reserves for a future request.
 *
 * @param hold the hold's id, unique on the engine
 * @param holder the incarnation that the memory is held for, in its text form
 * @param kvTokens the amount of memory, in tokens
 * @param expiresIn the time after which the engine drops the hold unless it is renewed
 */
public record EngineHold(String hold, String holder, long kvTokens, Duration expiresIn) {
}
