package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Engines that answer reservations only when a test completes them. Confined to the
 * test's thread.
 */
public final class PendingOrders implements EngineOrders {

	private final Deque<CompletableFuture<Boolean>> pending = new ArrayDeque<>();

	/**
	 * Answers the oldest pending reservation.
	 * @param held whether the memory is reserved
	 */
	public void answer(boolean held) {
		this.pending.remove().complete(held);
	}

	@Override
	public void onNotice(NoticeListener listener) {
		// These engines send no notices.
	}

	@Override
	public CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration) {
		CompletableFuture<Boolean> order = new CompletableFuture<>();
		this.pending.add(order);
		return order;
	}

	@Override
	public CompletableFuture<Void> release(Backend engine, String id) {
		return CompletableFuture.completedFuture(null);
	}

}
