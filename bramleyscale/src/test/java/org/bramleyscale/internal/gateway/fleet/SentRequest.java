package org.bramleyscale.internal.gateway.fleet;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.ExchangeTrace;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * A request that a daemon sent to an endpoint. Confined to the test's thread.
 */
final class SentRequest implements BackendClient.BackendExchange {

	final SimulatedDaemon from;

	final SimulatedEndpoint to;

	private final OutgoingRequest request;

	final BackendListener listener;

	private boolean cancelled;

	SentRequest(SimulatedDaemon from, SimulatedEndpoint to, OutgoingRequest request, BackendListener listener) {
		this.from = from;
		this.to = to;
		this.request = request;
		this.listener = listener;
	}

	String id() {
		return this.request.original().id();
	}

	String text() {
		return new String(this.request.original().body());
	}

	/**
	 * Whether the daemon has no interest in the request any more.
	 * @return true if it has cancelled it or was killed
	 */
	boolean cancelled() {
		return this.cancelled || this.from.killed();
	}

	List<String> parts() {
		return this.request.original().sharedParts();
	}

	/**
	 * Whether this request crashes the endpoint that runs it.
	 * @param marker marks bodies and parts that crash endpoints
	 * @return true if it does
	 */
	boolean crashes(String marker) {
		return text().contains(marker) || parts().stream().anyMatch((part) -> part.contains(marker));
	}

	void fail(boolean sent, String cause) {
		if (!cancelled()) {
			this.listener.failed(sent, cause);
		}
	}

	/** Answers as another endpoint that listens at the same address. */
	void answerMisdirected() {
		if (!cancelled()) {
			this.listener
				.head(new BackendHead(421, List.of(), true, false, false, EndpointNotice.NONE, Optional.empty()));
			this.listener.complete();
		}
	}

	void turnAway(EndpointNotice notice) {
		if (!cancelled()) {
			this.listener.head(new BackendHead(503, List.of(), true, false, false, notice, Optional.empty()));
			this.listener.complete();
		}
	}

	void answer() {
		if (!cancelled() && !this.from.connections.answerArrives(this.to.backend.start())) {
			this.from.connections.failLater(this);
			return;
		}
		if (!cancelled()) {
			this.listener
				.head(new BackendHead(200, List.of(), false, true, false, this.to.notice(this.from), Optional.empty()));
			end();
		}
	}

	/** Breaks off because the endpoint crashes. */
	void breakOff() {
		if (!this.from.fleet.unframed || !crashes(SimulatedEndpoint.CRASHING)) {
			fail(true, "connection closed by the endpoint");
			return;
		}
		if (!cancelled()) {
			this.listener
				.head(new BackendHead(200, List.of(), false, true, false, EndpointNotice.NONE, Optional.empty()));
			this.listener.closed();
		}
	}

	private void end() {
		if (this.from.fleet.unframed) {
			this.listener.closed();
		}
		else {
			this.listener.complete();
		}
	}

	@Override
	public void cancel() {
		this.cancelled = true;
		this.to.running.remove(this);
	}

	@Override
	public void skipRest() {
		cancel();
	}

	@Override
	public ExchangeTrace trace() {
		return ExchangeTrace.NOT_SENT;
	}

	@Override
	public void setReading(boolean on) {
		// Simulated endpoints send whole answers, so there is nothing to pause.
	}

}
