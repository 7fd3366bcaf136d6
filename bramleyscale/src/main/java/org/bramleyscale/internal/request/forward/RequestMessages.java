package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * Registers the peer messages of the request package, whose codes are 50 to 69.
 */
public final class RequestMessages {

	private RequestMessages() {
	}

	/**
	 * Adds the messages to a catalog.
	 * @param catalog the catalog
	 */
	public static void register(MessageCatalog.Builder catalog) {
		catalog.add(50, ForwardGenerate.class);
		catalog.add(51, ForwardCall.class);
		catalog.add(52, ForwardResume.class);
		catalog.add(53, ForwardBody.class);
		catalog.add(54, ForwardBodyCredit.class);
		catalog.add(55, ForwardAccepted.class);
		catalog.add(56, ForwardTokens.class);
		catalog.add(57, ForwardCredit.class);
		catalog.add(58, ForwardDone.class);
		catalog.add(59, ForwardReply.class);
		catalog.add(60, ForwardReplyPart.class);
		catalog.add(61, ForwardReplyCredit.class);
		catalog.add(62, ForwardFailed.class);
		catalog.add(63, ForwardDetach.class);
		catalog.add(64, CancelRequest.class);
	}

}
