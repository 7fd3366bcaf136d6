package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.Placement;

/**
 * The lines about one request.
 *
 * <p>
 * Immutable; confined to the scheduler's thread.
 *
 * @param log takes them
 * @param request the request
 * @param digest what stays the same when it comes again
 */
record RequestLines(DecisionLog log, CallerRequest request, RequestDigest digest) {

	/**
	 * The request goes to an endpoint.
	 * @param placement where to
	 * @param asked endpoints asked for it, this one included
	 * @param left the time left for it
	 * @param catalog the catalog's version
	 * @param lastEventId the event after which its stream goes on, or null
	 */
	void sent(Placement placement, int asked, Duration left, long catalog, String lastEventId) {
		String helpers = placement.helpers()
			.stream()
			.map((engine) -> engine.id().value())
			.collect(Collectors.joining(" "));
		line("sent", "endpoint", placement.target().orElseThrow().id(), "reason", placement.reason(), "helpers",
				helpers, "predicted_ms", Math.round(placement.firstMillis()), "asked", asked, "left_ms",
				left.toMillis(), "catalog", catalog, "after_event", lastEventId, "digest", this.digest);
	}

	void firstEvent(Backend endpoint, Duration waited, double predictedMillis) {
		line("first event", "endpoint", endpoint.id(), "after_ms", waited.toMillis(), "predicted_ms",
				Math.round(predictedMillis));
	}

	/**
	 * An endpoint's answer says that it leaves or asks for rest.
	 * @param endpoint the endpoint
	 * @param notice what it says of itself
	 */
	void noticed(Backend endpoint, EndpointNotice notice) {
		if (notice.leaving() || notice.rest().isPresent()) {
			line("endpoint says", "endpoint", endpoint.id(), "leaving", notice.leaving(), "rest_ms",
					notice.rest().map(Duration::toMillis).orElse(null));
		}
	}

	void unreachable(Backend endpoint, String cause) {
		line("unreachable", "endpoint", endpoint.id(), "cause", cause);
	}

	void fell(Backend endpoint, String cause, String lastEventId) {
		line("fell", "endpoint", endpoint.id(), "cause", cause, "digest", this.digest, "after_event", lastEventId);
	}

	void takenElsewhere(Backend endpoint, String lastEventId) {
		line("taken elsewhere", "endpoint", endpoint.id(), "cause", "silent", "after_event", lastEventId);
	}

	void refused(Backend endpoint, BackendHead head) {
		line("endpoint refused", "endpoint", endpoint.id(), "status", head.status(), "at_fault",
				head.atFault().orElse(null));
	}

	void sentAgain(Backend endpoint, String cause, String lastEventId) {
		line("sent again", "endpoint", endpoint.id(), "cause", cause, "after_event", lastEventId);
	}

	/**
	 * The request has ended.
	 * @param decision how
	 * @param route its route
	 * @param waited how long after its arrival
	 * @param fields what else there is to say
	 */
	void ended(String decision, Route route, Duration waited, Object... fields) {
		Object[] ending = { "route", route, "after_ms", waited.toMillis(), "prompt_tokens",
				this.request.promptTokens() };
		line(decision, Stream.concat(Stream.of(fields), Stream.of(ending)).toArray());
	}

	private void line(String decision, Object... fields) {
		this.log.request(this.request.id(), decision, fields);
	}

}
