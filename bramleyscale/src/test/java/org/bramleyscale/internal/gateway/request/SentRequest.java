package org.bramleyscale.internal.gateway.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;

/**
 * A request sent to an endpoint.
 */
final class SentRequest implements BackendClient.BackendExchange {

	final Backend to;

	final OutgoingRequest request;

	final BackendListener listener;

	boolean cancelled;

	boolean skipped;

	private boolean headSent;

	SentRequest(Backend to, OutgoingRequest request, BackendListener listener) {
		this.to = to;
		this.request = request;
		this.listener = listener;
	}

	@Override
	public void cancel() {
		this.cancelled = true;
	}

	@Override
	public void skipRest() {
		this.skipped = true;
	}

	@Override
	public ExchangeTrace trace() {
		return ExchangeTrace.NOT_SENT;
	}

	@Override
	public void setReading(boolean on) {
		// The endpoints of these tests send only what the test says.
	}

	void respond(int status, boolean notRun, String body) {
		this.listener.head(RelayFixture.head(status, notRun, !notRun, false));
		this.listener.data(body.getBytes(StandardCharsets.UTF_8));
		this.listener.complete();
	}

	void refuseWithBackoff(Duration backoff) {
		this.listener.head(new BackendHead(503, List.of(), true, false, false,
				new EndpointNotice(false, Optional.of(backoff), OptionalDouble.empty()), Optional.empty()));
		this.listener.complete();
	}

	void sendEvents(int from, int to) {
		if (!this.headSent) {
			this.headSent = true;
			this.listener.head(RelayFixture.head(200, false, true, true));
		}
		for (int id = from; id <= to; id++) {
			this.listener.data(("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8));
		}
	}

}
