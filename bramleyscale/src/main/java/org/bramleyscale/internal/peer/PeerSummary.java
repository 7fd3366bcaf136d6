package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.List;

/**
 * The state of one peer, for the state dump.
 *
 * @param vm the VM
 * @param incarnation the latest known incarnation, or the text {@code null}
 * @param heardMillisAgo for each connection, the milliseconds since a frame was last
 * received on it
 * @param dialling whether a connection is being opened
 * @param failures the number of consecutive failed dials
 * @param pendingBytes the bytes pending for a connection
 */
public record PeerSummary(String vm, String incarnation, List<Long> heardMillisAgo, boolean dialling, int failures,
		long pendingBytes) {

	static PeerSummary of(PeerState state, long now) {
		List<Long> heardMillisAgo = state.links()
			.stream()
			.map((link) -> Duration.ofNanos(now - link.receivedAt()).toMillis())
			.toList();
		return new PeerSummary(state.vm().value(), String.valueOf(state.incarnation()), heardMillisAgo,
				state.dialling(), state.failures(), state.pendingBytes());
	}

}
