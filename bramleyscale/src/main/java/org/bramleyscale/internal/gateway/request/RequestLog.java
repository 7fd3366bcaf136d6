package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.gateway.retry.RetryUsage;

/**
 * Writes the log lines about one request.
 *
 * <p>
 * Immutable; confined to the scheduler's thread.
 *
 * @param log receives the lines
 * @param request the request
 * @param digest identifies repeated sendings of the same request
 */
record RequestLog(DecisionLog log, CallerRequest request, RequestDigest digest) {

	/**
	 * Logs that the request is sent to an endpoint.
	 * @param placement the chosen placement
	 * @param attempts the number of attempts, this one included
	 * @param left the time left for it
	 * @param catalog the catalog's version
	 * @param lastEventId the event after which its stream resumes, or null
	 * @param turn its turn in the queue of its service, if it has a queue
	 */
	void sent(Placement placement, int attempts, Duration left, long catalog, String lastEventId,
			Optional<QueueTurn> turn) {
		String helpers = placement.helpers()
			.stream()
			.map((engine) -> engine.id().value())
			.collect(Collectors.joining(" "));
		write("sent", "endpoint", placement.target().orElseThrow().id(), "reason", placement.reason(), "helpers",
				helpers, "predicted_ms", Math.round(placement.firstEventMillis()), "asked", attempts, "left_ms",
				left.toMillis(), "catalog", catalog, "after_event", lastEventId, "digest", this.digest, "parts",
				parts(), "priority", turn.map(QueueTurn::priority).orElse(null), "rank",
				turn.map(QueueTurn::rank).orElse(null));
	}

	void firstEvent(Backend endpoint, Duration elapsed, double predictedMillis) {
		write("first event", "endpoint", endpoint.id(), "after_ms", elapsed.toMillis(), "predicted_ms",
				Math.round(predictedMillis));
	}

	/**
	 * Logs that an endpoint is leaving or asks the daemon to back off.
	 * @param endpoint the endpoint
	 * @param notice what it reports about itself
	 */
	void noticeReceived(Backend endpoint, EndpointNotice notice) {
		if (notice.leaving() || notice.backoff().isPresent()) {
			write("endpoint says", "endpoint", endpoint.id(), "leaving", notice.leaving(), "rest_ms",
					notice.backoff().map(Duration::toMillis).orElse(null));
		}
	}

	void unreachable(Backend endpoint, String cause) {
		write("unreachable", "endpoint", endpoint.id(), "cause", cause);
	}

	void attemptFailed(Backend endpoint, String cause, String lastEventId, ExchangeTrace trace) {
		writeTraced("fell", trace, "endpoint", endpoint.id(), "cause", cause, "digest", this.digest, "parts", parts(),
				"after_event", lastEventId);
	}

	void attemptTimedOut(Backend endpoint, String lastEventId, ExchangeTrace trace) {
		writeTraced("taken elsewhere", trace, "endpoint", endpoint.id(), "cause", "silent", "after_event", lastEventId);
	}

	void refused(Backend endpoint, BackendHead head) {
		write("endpoint refused", "endpoint", endpoint.id(), "status", head.status(), "at_fault",
				head.atFault().orElse(null));
	}

	void resent(Backend endpoint, String cause, String lastEventId, ExchangeTrace trace) {
		writeTraced("sent again", trace, "endpoint", endpoint.id(), "cause", cause, "after_event", lastEventId);
	}

	/**
	 * Logs whether the request was granted a retry.
	 * @param granted whether it was
	 * @param attempts the attempts made so far
	 * @param usage what this daemon has used of the budget
	 */
	void retry(boolean granted, int attempts, RetryUsage usage) {
		write("retry", "granted", granted, "asked", attempts, "window_requests", usage.requests(), "window_retries",
				usage.retries(), "pending", usage.pending(), "share", usage.share(), "age_ms", usage.age().toMillis());
	}

	/**
	 * Logs that the response is aborted, since its caller hasn't read it in time.
	 * @param elapsed the time since its arrival
	 */
	void unwritten(Duration elapsed) {
		write("not read in time", "after_ms", elapsed.toMillis());
	}

	/**
	 * Logs the end of the request.
	 * @param decision how it ended
	 * @param route its route
	 * @param elapsed the time since its arrival
	 * @param trace what was read for its last attempt
	 * @param fields further fields
	 */
	void ended(String decision, Route route, Duration elapsed, ExchangeTrace trace, Object... fields) {
		writeTraced(decision, trace, append(fields, "route", route, "after_ms", elapsed.toMillis(), "prompt_tokens",
				this.request.promptTokens()));
	}

	private String parts() {
		return String.join(" ", this.request.sharedParts());
	}

	private void writeTraced(String decision, ExchangeTrace trace, Object... fields) {
		write(decision, append(fields, "earlier_requests", trace.earlierRequests(), "received", trace.stage()));
	}

	private static Object[] append(Object[] fields, Object... more) {
		return Stream.concat(Stream.of(fields), Stream.of(more)).toArray();
	}

	private void write(String decision, Object... fields) {
		this.log.request(this.request.id(), decision, fields);
	}

}
