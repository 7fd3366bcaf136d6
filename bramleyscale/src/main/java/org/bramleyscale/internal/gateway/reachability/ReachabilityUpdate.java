package org.bramleyscale.internal.gateway.reachability;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The services that daemons can't reach.
 *
 * @param daemons the daemons
 */
public record ReachabilityUpdate(List<Daemon> daemons) implements PeerMessage {

	/**
	 * What one daemon announced of itself.
	 *
	 * @param vm its VM
	 * @param start its start
	 * @param version the number of its announcement, from 1
	 * @param unreachable the services that it can't reach, empty if it reaches all
	 */
	public record Daemon(String vm, long start, long version, List<String> unreachable) {
	}

}
