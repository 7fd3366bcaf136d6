package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home daemon of a request to run a generation, or to attach to it if it has
 * been started.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param id the request
 * @param account the requesting client account
 * @param service the service
 * @param model the model
 * @param maxTokens the maximum number of answer tokens
 * @param repeatable whether the request may run more than once
 * @param timeLeftMillis the time left until the deadline
 * @param promptBytes the length of the prompt in UTF-8
 * @param firstPart the first part of the prompt; {@link ForwardBody} messages carry the
 * rest
 */
public record ForwardGenerate(long forward, String id, String account, String service, String model, int maxTokens,
		boolean repeatable, long timeLeftMillis, int promptBytes, byte[] firstPart) implements PeerMessage {
}
