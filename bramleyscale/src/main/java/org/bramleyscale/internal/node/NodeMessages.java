package org.bramleyscale.internal.node;

import org.bramleyscale.internal.admission.AdmissionMessages;
import org.bramleyscale.internal.configuration.ConfigurationMessages;
import org.bramleyscale.internal.endpoint.EndpointMessages;
import org.bramleyscale.internal.membership.MembershipMessages;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerMessages;
import org.bramleyscale.internal.request.forward.RequestMessages;
import org.bramleyscale.internal.routing.RoutingMessages;

/**
 * The messages of all slices in one catalog.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class NodeMessages {

	private static final int DRAIN = 90;

	private static final int REPORT_WANTED = 91;

	private static final int REPORT_GIVEN = 92;

	private NodeMessages() {
	}

	/**
	 * Enters each slice's messages.
	 * @return the catalog that all daemons share
	 */
	public static MessageCatalog catalog() {
		MessageCatalog.Builder builder = MessageCatalog.builder();
		PeerMessages.register(builder);
		MembershipMessages.register(builder);
		ConfigurationMessages.register(builder);
		EndpointMessages.register(builder);
		RequestMessages.register(builder);
		AdmissionMessages.register(builder);
		RoutingMessages.register(builder);
		builder.add(DRAIN, Drain.class);
		builder.add(REPORT_WANTED, ReportWanted.class);
		builder.add(REPORT_GIVEN, ReportGiven.class);
		return builder.build();
	}

}
