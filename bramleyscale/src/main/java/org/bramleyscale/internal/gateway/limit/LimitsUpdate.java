package org.bramleyscale.internal.gateway.limit;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A daemon's report of endpoints that name a limit or no longer do so.
 *
 * @param limits the limits
 */
public record LimitsUpdate(List<Limit> limits) implements PeerMessage {

	/**
	 * The limit that an endpoint last reported.
	 *
	 * @param endpoint the endpoint's start as text
	 * @param perSecond requests a second from all daemons together, or {@link #UNLIMITED}
	 * @param ageMillis the time since the endpoint's answer arrived, in ms
	 */
	public record Limit(String endpoint, double perSecond, long ageMillis) {

		/** The endpoint no longer names a limit. */
		public static final double UNLIMITED = -1;

	}

}
