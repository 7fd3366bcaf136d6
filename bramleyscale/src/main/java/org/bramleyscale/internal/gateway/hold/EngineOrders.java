package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

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
	 * Gives memory back.
	 * @param engine the engine
	 * @param id the id
	 * @return completes when the engine has answered
	 */
	CompletableFuture<Void> release(Backend engine, String id);

}
