package org.bramleyscale.internal.endpoint;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.RequestId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Calls to endpoints.
 *
 * <p>
 * Used from the scheduler's thread only; futures complete and listeners are called there
 * too. Failures are {@link org.bramleyscale.ServingException}s that carry step and peer.
 */
public interface EngineClient {

	/**
	 * Starts a generation.
	 * @param endpoint the engine
	 * @param request what to generate
	 * @param listener takes the answer
	 * @return closes the connection only; it does not cancel the work at the engine
	 */
	Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener);

	/**
	 * Continues to read a running or finished attempt on a new connection.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @param offset the first token wanted
	 * @param listener takes the rest of the answer
	 * @return closes the connection only
	 */
	Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener);

	/**
	 * Cancels an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @return what the engine says
	 */
	CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt);

	CompletableFuture<LoadReport> report(EndpointEntry endpoint);

	/**
	 * Reads events of the prefix cache.
	 * @param endpoint the engine
	 * @param after the last sequence number seen
	 * @return the events after it, late and possibly with gaps
	 */
	CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after);

	/**
	 * Gives an order.
	 * @param endpoint the engine
	 * @param order the order
	 * @return completes once the engine accepted it; fails with
	 * {@link org.bramleyscale.ErrorCode#CONFLICT} if the fence is old
	 */
	CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order);

	CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint);

	/**
	 * Takes or renews a hold.
	 * @param endpoint the engine
	 * @param hold the hold
	 * @return true if the engine keeps the memory, false if it has too little
	 */
	CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold);

	CompletableFuture<Void> release(EndpointEntry endpoint, String hold);

	/**
	 * Calls a plain service once, never again by itself.
	 * @param endpoint the instance
	 * @param call the call
	 * @return the whole reply; a failure says whether the call ran
	 */
	CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call);

}
