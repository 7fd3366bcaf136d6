package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home of a request to run a generation, or to attach to it.
 *
 * @param forward the number that the entry gave this forward
 * @param id the request
 * @param account who asks
 * @param service the service
 * @param model the model
 * @param maxTokens the largest number of answer tokens
 * @param repeatable whether it may run more than once
 * @param timeLeftMillis how long it may still take
 * @param promptBytes how long the prompt is, as UTF-8
 * @param firstPart the beginning of the prompt; the rest follows in parts
 */
public record ForwardGenerate(long forward, String id, String account, String service, String model, int maxTokens,
		boolean repeatable, long timeLeftMillis, int promptBytes, byte[] firstPart) implements PeerMessage {
}
