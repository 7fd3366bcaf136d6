package org.bramleyscale.internal.endpoint;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.RequestId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.time.Cancellable;

/**
 * The client through which daemons call endpoints.
 *
 * <p>
 * Used from the scheduler's thread only; futures complete and listeners are called there
 * too. Failures are {@link org.bramleyscale.ServingException}s that carry the failed step
 * and the peer.
 */
public interface EngineClient {

	/**
	 * Starts a generation.
	 * @param endpoint the engine
	 * @param request the generation request
	 * @param listener receives the answer
	 * @return a handle that closes the connection only; it does not cancel the work at
	 * the engine
	 */
	Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener);

	/**
	 * Resumes reading a running or finished attempt on a new connection.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @param offset the offset of the first token to read
	 * @param listener receives the rest of the answer
	 * @return a handle that closes the connection only
	 */
	Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener);

	/**
	 * Cancels an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @return the engine's result
	 */
	CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt);

	CompletableFuture<LoadReport> report(EndpointEntry endpoint);

	/**
	 * Reads events of the prefix cache.
	 * @param endpoint the engine
	 * @param after the last sequence number received
	 * @return the events after it, delayed and possibly with gaps
	 */
	CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after);

	/**
	 * Sends an order to an engine.
	 * @param endpoint the engine
	 * @param order the order
	 * @return completes when the engine has accepted the order; fails with
	 * {@link org.bramleyscale.ErrorCode#CONFLICT} if its fencing token is out of date
	 */
	CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order);

	CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint);

	/**
	 * Places or renews a hold.
	 * @param endpoint the engine
	 * @param hold the hold
	 * @return true if the engine holds the memory, false if it has too little
	 */
	CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold);

	CompletableFuture<Void> release(EndpointEntry endpoint, String hold);

	/**
	 * Calls a plain service once, without retries.
	 * @param endpoint the service instance
	 * @param call the call
	 * @return the complete reply; a failure states whether the call ran
	 */
	CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call);

}
