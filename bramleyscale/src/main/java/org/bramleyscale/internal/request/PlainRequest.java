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
 * @param id the id the caller brought, or empty if this daemon shall issue one
 * @param account who asks
 * @param service the service
 * @param method the HTTP method
 * @param path the path below the service, query included
 * @param headers headers to pass on
 * @param body the body
 * @param repeatable whether it may run more than once
 * @param timeLeft how long it may take
 */
public record PlainRequest(Optional<RequestId> id, ClientAccountId account, ServiceName service, String method,
		String path, Map<String, String> headers, byte[] body, boolean repeatable, Duration timeLeft) {
}
