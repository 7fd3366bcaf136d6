package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request, received completely.
 *
 * <p>
 * Immutable and safe for use by multiple threads; the body must not be modified.
 *
 * @param id the attempt's id as given by the caller, or empty
 * @param method the method
 * @param target path and query as they were sent
 * @param host the host that the caller names
 * @param headers the end-to-end headers that are relayed to the endpoint unchanged
 * @param body the body
 * @param key the caller's key, if it sent one
 * @param timeLeft how long the caller waits from now on, if it says so
 * @param promptTokens the declared length of the prompt, 0 if none is declared
 * @param outputTokens the declared maximum length of the output, 0 if none is declared
 * @param lastEventId the event after which the caller wants to resume a stream
 * @param sharedParts the ids of the parts of the prompt that other requests may have as
 * well, in order; empty if none are declared
 */
public record CallerRequest(String id, String method, String target, String host, List<Header> headers, byte[] body,
		Optional<String> key, Optional<Duration> timeLeft, long promptTokens, long outputTokens,
		Optional<String> lastEventId, List<String> sharedParts) {

	/**
	 * Returns the path without its query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query >= 0) ? this.target.substring(0, query) : this.target;
	}

	/**
	 * Returns the same request after it has arrived slowly or waited in this daemon.
	 * @param waited how long that took
	 * @return the request with its time left reduced accordingly
	 */
	public CallerRequest afterWaiting(Duration waited) {
		return new CallerRequest(this.id, this.method, this.target, this.host, this.headers, this.body, this.key,
				this.timeLeft.map((time) -> time.minus(waited)), this.promptTokens, this.outputTokens, this.lastEventId,
				this.sharedParts);
	}

	/**
	 * Returns the time that this request has on a route.
	 * @param timeout the route's timeout
	 * @return the time that its caller allows, at most the timeout
	 */
	Duration timeWithin(Duration timeout) {
		return this.timeLeft.filter((time) -> time.compareTo(timeout) < 0).orElse(timeout);
	}

}
