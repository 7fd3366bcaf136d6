package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * Registers the messages of membership, which use the codes 10 to 19 of the wire
 * protocol.
 */
public final class MembershipMessages {

	private static final int HEARTBEAT = 10;

	private static final int ENTRIES = 11;

	private static final int DIGESTS = 12;

	private static final int SUMMARIES = 13;

	private static final int WANTED = 14;

	private static final int INQUIRY = 15;

	private static final int INQUIRY_RESULT = 16;

	private static final int PROBE = 17;

	private static final int PROBE_REPLY = 18;

	private MembershipMessages() {
	}

	/**
	 * Adds the messages of membership to a catalog.
	 * @param builder the builder of the catalog
	 * @return the same builder
	 */
	public static MessageCatalog.Builder register(MessageCatalog.Builder builder) {
		return builder.add(HEARTBEAT, Heartbeat.class)
			.add(ENTRIES, Entries.class)
			.add(DIGESTS, Digests.class)
			.add(SUMMARIES, Summaries.class)
			.add(WANTED, Wanted.class)
			.add(INQUIRY, Inquiry.class)
			.add(INQUIRY_RESULT, InquiryResult.class)
			.add(PROBE, Probe.class)
			.add(PROBE_REPLY, ProbeReply.class);
	}

}
