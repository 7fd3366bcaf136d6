package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.Map;

import org.bramleyscale.RequestId;

/**
 * A call to a plain service.
 *
 * @param id the request
 * @param method the HTTP method
 * @param path the path below the service, starting with a slash, query included
 * @param headers the caller's headers to forward
 * @param body the body, possibly empty
 * @param timeLeft the time left until the call's deadline
 */
public record ServiceCall(RequestId id, String method, String path, Map<String, String> headers, byte[] body,
		Duration timeLeft) {
}
