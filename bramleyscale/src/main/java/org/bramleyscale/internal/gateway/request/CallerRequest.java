package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request, read to its end.
 *
 * <p>
 * Immutable and safe for use by multiple threads; nobody modifies the body.
 *
 * @param id the attempt's id as the caller gave it, or empty
 * @param method the method
 * @param target path and query as they were sent
 * @param host the host that the caller names
 * @param headers the end-to-end headers that pass to the endpoint unchanged
 * @param body the body
 * @param key the caller's key, if it sent one
 * @param timeLeft how long the caller waits from now on, if it says so
 * @param promptTokens the declared length of the prompt, 0 if none is declared
 * @param outputTokens the declared longest answer, 0 if none is declared
 * @param lastEventId the event after which the caller wants a stream to go on
 */
public record CallerRequest(String id, String method, String target, String host, List<Header> headers, byte[] body,
		Optional<String> key, Optional<Duration> timeLeft, long promptTokens, long outputTokens,
		Optional<String> lastEventId) {

	/**
	 * The path without its query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query >= 0) ? this.target.substring(0, query) : this.target;
	}

	/**
	 * The same request once it has waited here.
	 * @param waited for how long
	 * @return the request with so much less time left
	 */
	CallerRequest after(Duration waited) {
		return new CallerRequest(this.id, this.method, this.target, this.host, this.headers, this.body, this.key,
				this.timeLeft.map((time) -> time.minus(waited)), this.promptTokens, this.outputTokens,
				this.lastEventId);
	}

	/**
	 * The time that this request has on a route.
	 * @param timeout the route's timeout
	 * @return what its caller gives it, at most the timeout
	 */
	Duration timeWithin(Duration timeout) {
		return this.timeLeft.filter((time) -> time.compareTo(timeout) < 0).orElse(timeout);
	}

}
