package org.bramleyscale.internal.request.forward;

import java.util.Map;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home of a request to call a plain service, or to attach to the call.
 *
 * @param forward the number that the entry gave this forward
 * @param id the request
 * @param account who asks
 * @param service the service
 * @param method the HTTP method
 * @param path the path below the service
 * @param headers headers to pass on
 * @param repeatable whether it may run more than once
 * @param timeLeftMillis how long it may still take
 * @param bodyBytes how long the body is
 * @param firstPart the beginning of the body; the rest follows in parts
 */
public record ForwardCall(long forward, String id, String account, String service, String method, String path,
		Map<String, String> headers, boolean repeatable, long timeLeftMillis, int bodyBytes,
		byte[] firstPart) implements PeerMessage {
}
