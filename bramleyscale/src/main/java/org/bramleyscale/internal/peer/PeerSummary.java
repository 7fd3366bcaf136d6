package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.List;

/**
 * One peer in the state dump.
 *
 * @param vm the VM
 * @param incarnation the latest start met, or {@code null} as text
 * @param heardMillisAgo for each connection when something was last heard on it
 * @param dialling whether a connection is being opened
 * @param failures failed dials in a row
 * @param pendingBytes bytes that wait for a connection
 */
public record PeerSummary(String vm, String incarnation, List<Long> heardMillisAgo, boolean dialling, int failures,
		long pendingBytes) {

	static PeerSummary of(PeerState state, long now) {
		List<Long> heardMillisAgo = state.links()
			.stream()
			.map((link) -> Duration.ofNanos(now - link.heardAt()).toMillis())
			.toList();
		return new PeerSummary(state.vm().value(), String.valueOf(state.incarnation()), heardMillisAgo,
				state.dialling(), state.failures(), state.pendingBytes());
	}

}
