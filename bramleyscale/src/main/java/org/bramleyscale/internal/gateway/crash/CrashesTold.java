package org.bramleyscale.internal.gateway.crash;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * What a daemon knows of requests under which endpoints ended.
 *
 * @param crashes endpoints that ended, each with a request that was there
 * @param cleared digests of requests that ran to an answer
 * @param living endpoints that answered after they were said to have ended
 */
public record CrashesTold(List<Crash> crashes, List<String> cleared, List<String> living) implements PeerMessage {

	/**
	 * A request that was at an endpoint when that ended.
	 *
	 * @param request the request's digest
	 * @param endpoint the endpoint's start as text
	 */
	public record Crash(String request, String endpoint) {
	}

}
