package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.VmId;

/**
 * A version that reached this daemon, and how.
 *
 * @param snapshot the version
 * @param history the steps that led to it, if it came whole from a peer
 * @param pushedBy the VM whose daemon pushed it, which needn't get it back
 * @param proposer the VM whose daemon wrote it and waits to hear who holds it
 */
record Arrival(Snapshot snapshot, List<HistoryStep> history, Optional<VmId> pushedBy, Optional<VmId> proposer) {

	/**
	 * A version that a peer sent whole.
	 * @param snapshot the version
	 * @param history the steps that led to it
	 * @return the arrival
	 */
	static Arrival whole(Snapshot snapshot, List<HistoryStep> history) {
		return new Arrival(snapshot, history, Optional.empty(), Optional.empty());
	}

	/**
	 * A version that was read from, or written to, the platform.
	 * @param snapshot the version
	 * @param head its head
	 * @return the arrival
	 */
	static Arrival stored(Snapshot snapshot, Head head) {
		return new Arrival(snapshot, List.of(), Optional.empty(), Optional.ofNullable(head.proposer()));
	}

	/**
	 * A version that a peer pushed.
	 * @param snapshot the version
	 * @param pushedBy the peer
	 * @param proposer who wrote it, if that is known
	 * @return the arrival
	 */
	static Arrival pushed(Snapshot snapshot, VmId pushedBy, Optional<VmId> proposer) {
		return new Arrival(snapshot, List.of(), Optional.of(pushedBy), proposer);
	}

}
