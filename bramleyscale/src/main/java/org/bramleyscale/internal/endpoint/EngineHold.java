package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * KV memory that an engine keeps free for a request yet to come.
 *
 * @param hold the hold's id, unique on the engine
 * @param holder the incarnation for which it is kept, in its written form
 * @param kvTokens how much memory, in tokens
 * @param expiresIn how long the engine keeps it unless renewed
 */
public record EngineHold(String hold, String holder, long kvTokens, Duration expiresIn) {
}
