package org.bramleyscale.internal.gateway.hold;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Memory wanted on one engine.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param engine the engine
 * @param tokens how much, in tokens of context
 */
public record MemoryHold(Backend engine, long tokens) {

	public MemoryHold {
		if (tokens < 1) {
			throw new IllegalArgumentException("a hold needs at least 1 token, was " + tokens);
		}
	}

}
