package org.bramleyscale.internal.gateway.crash;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A daemon's report of endpoint crashes and of the requests in flight.
 *
 * @param crashes endpoints that crashed, each with a request that was in flight there
 * @param cleared digests of requests that ran to completion
 * @param living endpoints that answered after their crash was reported
 */
public record CrashUpdate(List<Crash> crashes, List<String> cleared, List<String> living) implements PeerMessage {

	/**
	 * A request that was in flight at an endpoint when it crashed.
	 *
	 * @param request the request's digest
	 * @param endpoint the endpoint's start as text
	 */
	public record Crash(String request, String endpoint) {
	}

}
