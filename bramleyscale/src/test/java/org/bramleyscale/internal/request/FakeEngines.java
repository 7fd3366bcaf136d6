package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Records what is sent to endpoints and lets a test send the replies.
 */
final class FakeEngines implements EngineClient {

	final List<Connection> connections = new ArrayList<>();

	final List<SentCall> calls = new ArrayList<>();

	final List<String> cancels = new ArrayList<>();

	final List<CompletableFuture<CancelResult>> cancelResults = new ArrayList<>();

	long boot = 1;

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		Connection connection = new Connection(endpoint, request, request.id(), request.attempt(), -1, listener);
		this.connections.add(connection);
		return () -> connection.closed = true;
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		Connection connection = new Connection(endpoint, null, id, attempt, offset, listener);
		this.connections.add(connection);
		return () -> connection.closed = true;
	}

	@Override
	public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		this.cancels.add(endpoint.name() + " " + id + " " + attempt);
		CompletableFuture<CancelResult> answer = new CompletableFuture<>();
		this.cancelResults.add(answer);
		return answer;
	}

	@Override
	public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
		SentCall sent = new SentCall(endpoint, call, new CompletableFuture<>());
		this.calls.add(sent);
		return sent.reply;
	}

	@Override
	public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
		return CompletableFuture
			.completedFuture(new LoadReport(endpoint.name(), this.boot, 1, 0, 0, 8, 0, 0, 100_000, false, List.of()));
	}

	@Override
	public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
		throw new UnsupportedOperationException();
	}

	Connection connection(int index) {
		return this.connections.get(index);
	}

	Connection last() {
		return this.connections.get(this.connections.size() - 1);
	}

	/**
	 * Returns how many times work was sent, without resumed reads.
	 * @return the number of generations and calls sent
	 */
	long sentWork() {
		return this.calls.size() + this.connections.stream().filter((connection) -> connection.request != null).count();
	}

	static ServingException failure(Ran ran, Step step) {
		return new ServingException(ErrorCode.ENDPOINT_FAILED, ran, step, "engine", "engine failed");
	}

	/**
	 * One call to a plain service.
	 *
	 * @param endpoint the endpoint called
	 * @param call the call
	 * @param reply the future reply
	 */
	record SentCall(EndpointEntry endpoint, ServiceCall call, CompletableFuture<ServiceReply> reply) {
	}

	/**
	 * One connection that reads an answer.
	 */
	static final class Connection {

		final EndpointEntry endpoint;

		final EngineRequest request;

		final RequestId id;

		final int attempt;

		final long offset;

		final EngineListener listener;

		boolean closed;

		private Connection(EndpointEntry endpoint, EngineRequest request, RequestId id, int attempt, long offset,
				EngineListener listener) {
			this.endpoint = endpoint;
			this.request = request;
			this.id = id;
			this.attempt = attempt;
			this.offset = offset;
			this.listener = listener;
		}

		void frames(String text, int from, int to) {
			for (int offset = from; offset < to; offset++) {
				frame(offset, 1, text.substring(offset, offset + 1));
			}
		}

		void frame(long from, int tokens, String part) {
			this.listener.frame(new EngineFrame(this.id, this.attempt, from, tokens, part));
		}

		void complete(int answerTokens) {
			this.listener.completed(new EngineUsage(10, 0, answerTokens, "stop"));
		}

	}

}
