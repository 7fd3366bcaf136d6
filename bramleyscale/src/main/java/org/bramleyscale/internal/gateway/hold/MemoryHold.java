package org.bramleyscale.internal.gateway.hold;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * A request for memory on one engine.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param engine the engine
 * @param tokens the KV-cache tokens to reserve
 */
public record MemoryHold(Backend engine, long tokens) {

	public MemoryHold {
		if (tokens < 1) {
			throw new IllegalArgumentException("a hold needs at least 1 token, was " + tokens);
		}
	}

}
