package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Sends orders to engines that reserve and release memory.
 *
 * <p>
 * Futures complete on the scheduler's thread. A future that completes exceptionally means
 * that no answer came; the order may have been carried out, or may still be carried out
 * later.
 */
public interface EngineOrders {

	/**
	 * Reserves memory, or renews the reservation with the same id.
	 * @param engine the engine
	 * @param id the id
	 * @param tokens the KV-cache tokens to reserve
	 * @param duration how long the reservation lasts from the arrival of the order
	 * @return completes with false if the engine refuses
	 */
	CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration);

	/**
	 * Sets the listener for the notices about themselves that engines attach to their
	 * answers.
	 * @param listener called on the scheduler's thread, before the future of the answer
	 * completes
	 */
	void onNotice(NoticeListener listener);

	/**
	 * Releases a reservation.
	 * @param engine the engine
	 * @param id the id
	 * @return completes when the engine has answered
	 */
	CompletableFuture<Void> release(Backend engine, String id);

	/**
	 * Receives the notices of engines.
	 */
	@FunctionalInterface
	interface NoticeListener {

		/**
		 * Called for each answer to an order.
		 * @param engine the engine
		 * @param notice the notice in its answer
		 */
		void received(EndpointStart engine, EndpointNotice notice);

	}

}
