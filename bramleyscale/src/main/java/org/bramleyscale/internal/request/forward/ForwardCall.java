package org.bramleyscale.internal.request.forward;

import java.util.Map;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home daemon of a request to call a plain service, or to attach to the call if
 * it has been started.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param id the request
 * @param account the requesting client account
 * @param service the service
 * @param method the HTTP method
 * @param path the path below the service
 * @param headers the headers to forward
 * @param repeatable whether the request may run more than once
 * @param timeLeftMillis the time left until the deadline
 * @param bodyBytes the length of the body
 * @param firstPart the first part of the body; {@link ForwardBody} messages carry the
 * rest
 */
public record ForwardCall(long forward, String id, String account, String service, String method, String path,
		Map<String, String> headers, boolean repeatable, long timeLeftMillis, int bodyBytes,
		byte[] firstPart) implements PeerMessage {
}
