package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Orders to engines about their memory.
 *
 * <p>
 * Futures complete on the scheduler's thread; exceptionally if no answer came, in which
 * case the order may have been carried out or may be carried out later.
 */
public interface EngineOrders {

	/**
	 * Sets memory aside, or renews what is set aside under the same id.
	 * @param engine the engine
	 * @param id the id
	 * @param tokens how much
	 * @param duration how long from the order's arrival
	 * @return completes with false if the engine refuses
	 */
	CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration);

	/**
	 * Sets who is told what engines say of themselves in their answers.
	 * @param listener told on the scheduler's thread, before the answer's future
	 * completes
	 */
	void onNotice(NoticeListener listener);

	/**
	 * Gives memory back.
	 * @param engine the engine
	 * @param id the id
	 * @return completes when the engine has answered
	 */
	CompletableFuture<Void> release(Backend engine, String id);

	/**
	 * Takes what an engine says of itself.
	 */
	@FunctionalInterface
	interface NoticeListener {

		/**
		 * Called for each answer to an order.
		 * @param engine the engine
		 * @param notice what it says
		 */
		void heard(EndpointStart engine, EndpointNotice notice);

	}

}
