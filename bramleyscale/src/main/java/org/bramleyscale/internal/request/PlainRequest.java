package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * A caller's request to a plain service, authenticated and parsed.
 *
 * @param id the id chosen by the caller, or empty if this daemon is to issue one
 * @param account the account of the caller
 * @param service the service
 * @param method the HTTP method
 * @param path the path relative to the service, including the query
 * @param headers the headers to forward
 * @param body the body
 * @param repeatable whether it may run more than once
 * @param timeLeft the time until its deadline
 */
public record PlainRequest(Optional<RequestId> id, ClientAccountId account, ServiceName service, String method,
		String path, Map<String, String> headers, byte[] body, boolean repeatable, Duration timeLeft) {
}
