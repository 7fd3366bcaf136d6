package org.bramleyscale.internal.request.forward;

import java.util.Map;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The start of a plain service's reply, sent to the entry daemon.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param status the HTTP status
 * @param headers the headers
 * @param bodyBytes the length of the body
 * @param firstPart the first part of the body; {@link ForwardReplyPart} messages carry
 * the rest
 */
public record ForwardReply(long forward, int status, Map<String, String> headers, int bodyBytes,
		byte[] firstPart) implements PeerMessage {
}
