package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Engines that accept no orders, for tests of requests that need none.
 */
public final class NoOrders implements EngineOrders {

	@Override
	public void onNotice(NoticeListener listener) {
		// These engines send no notices.
	}

	@Override
	public CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> release(Backend engine, String id) {
		throw new UnsupportedOperationException();
	}

}
