package org.bramleyscale.internal.request.forward;

import java.util.Map;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A plain service's reply on its way to the entry.
 *
 * @param forward the number that the entry gave this forward
 * @param status the HTTP status
 * @param headers the headers
 * @param bodyBytes how long the body is
 * @param firstPart the beginning of the body; the rest follows in parts
 */
public record ForwardReply(long forward, int status, Map<String, String> headers, int bodyBytes,
		byte[] firstPart) implements PeerMessage {
}
