package org.bramleyscale.internal.gateway.limit;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * What a daemon knows of endpoints that name a limit, or have ceased to.
 *
 * @param limits the limits
 */
public record LimitsTold(List<Limit> limits) implements PeerMessage {

	/**
	 * What an endpoint last said.
	 *
	 * @param endpoint the endpoint's start as text
	 * @param perSecond requests a second from all daemons together, or {@link #UNLIMITED}
	 * @param ageMillis how long ago the answer came
	 */
	public record Limit(String endpoint, double perSecond, long ageMillis) {

		/** The endpoint names no limit any more. */
		public static final double UNLIMITED = -1;

	}

}
