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
 * @param original the caller's request, whose method, target, headers and body pass
 * unchanged
 * @param account the account that holds the caller's key
 * @param timeLeft how long the endpoint may work
 * @param lastEventId the event after which the stream goes on
 * @param helpers engines that read parts of the prompt
 * @param priority 0 for the most urgent to 9
 * @param freshConnection true if it needs a connection that no request has used
 */
public record OutgoingRequest(CallerRequest original, Optional<ClientAccountId> account, Duration timeLeft,
		Optional<String> lastEventId, List<Helper> helpers, int priority, boolean freshConnection) {
}
