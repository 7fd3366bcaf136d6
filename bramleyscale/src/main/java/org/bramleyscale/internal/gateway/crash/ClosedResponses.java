package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * Responses that ended with their connection and look whole.
 *
 * <p>
 * The endpoint may have crashed between two events. What it does next tells: an answer to
 * a later request shows that it has lived on. Bounded by {@link #MAX_RESPONSES} of each
 * endpoint and {@link #RETENTION}. Confined to the scheduler's thread.
 */
final class ClosedResponses {

	/** Maximum number of responses of one endpoint. */
	static final int MAX_RESPONSES = 32;

	/** An endpoint that has traffic answers, or is missed, within this time. */
	static final Duration RETENTION = Duration.ofSeconds(3);

	private final Clock clock;

	private final Map<EndpointStart, List<Closed>> responses = new HashMap<>();

	ClosedResponses(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records a response.
	 * @param causes the causes of its request
	 * @param endpoint the endpoint
	 */
	void add(CrashCauses causes, EndpointStart endpoint) {
		List<Closed> closed = this.responses.computeIfAbsent(endpoint, (key) -> new ArrayList<>());
		if (closed.size() < MAX_RESPONSES) {
			closed.add(new Closed(causes, this.clock.nanos()));
		}
	}

	/**
	 * Takes the responses that an answer shows to be whole.
	 * @param endpoint the endpoint that has answered
	 * @param sentAt when the answered request was sent
	 * @return the causes of their requests
	 */
	List<CrashCauses> confirm(EndpointStart endpoint, long sentAt) {
		List<Closed> closed = this.responses.get(endpoint);
		if (closed == null) {
			return List.of();
		}
		List<Closed> confirmed = closed.stream().filter((each) -> sentAt - each.at() > 0).toList();
		closed.removeAll(confirmed);
		return confirmed.stream().map(Closed::causes).toList();
	}

	/**
	 * Takes the responses of an endpoint that may have ended because it crashed.
	 * @param endpoint the endpoint
	 * @return the causes of their requests
	 */
	List<CrashCauses> doubt(EndpointStart endpoint) {
		List<Closed> closed = this.responses.remove(endpoint);
		return (closed != null) ? closed.stream().map(Closed::causes).toList() : List.of();
	}

	/**
	 * Removes responses of which nothing more is known; called a few times a second.
	 */
	void expire() {
		long now = this.clock.nanos();
		this.responses.values().forEach((closed) -> closed.removeIf((each) -> now - each.at() > RETENTION.toNanos()));
		this.responses.values().removeIf(List::isEmpty);
	}

	/**
	 * A response.
	 *
	 * @param causes the causes of its request
	 * @param at when it ended
	 */
	private record Closed(CrashCauses causes, long at) {
	}

}
