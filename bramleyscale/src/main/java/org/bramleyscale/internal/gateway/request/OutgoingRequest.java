package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;

/**
 * A caller's request as it is sent to one endpoint.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param original the caller's request, whose method, target, headers and body are
 * relayed unchanged
 * @param account the account that the caller's key belongs to
 * @param timeLeft how long the endpoint may work
 * @param lastEventId the event after which the stream resumes
 * @param helpers engines that prefill parts of the prompt
 * @param priority from 0, the most urgent, to 9
 * @param freshConnection true if it needs a connection that hasn't carried a request
 */
public record OutgoingRequest(CallerRequest original, Optional<ClientAccountId> account, Duration timeLeft,
		Optional<String> lastEventId, List<Helper> helpers, int priority, boolean freshConnection) {

	/**
	 * Whether the request has an id, which its response must name.
	 * @return false if only the position of a response tells that it belongs to it
	 */
	public boolean named() {
		return !this.original.id().isEmpty();
	}

}
