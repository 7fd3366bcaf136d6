package org.bramleyscale.internal.gateway.crash;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A daemon's report of endpoint crashes and of what they may be due to.
 *
 * @param crashes endpoints that crashed, each with a cause that a request in flight there
 * had
 * @param cleared causes that requests had which ran to completion
 * @param living endpoints that answered after their crash was reported
 * @param lost when these endpoints, and others that ran nothing, were lost; null from
 * daemons that don't tell it
 */
public record CrashUpdate(List<Crash> crashes, List<String> cleared, List<String> living,
		List<Loss> lost) implements PeerMessage {

	/**
	 * A cause that a request in flight at an endpoint had when it crashed.
	 *
	 * @param request the cause's value, for a whole request its digest
	 * @param endpoint the endpoint's start as text
	 */
	public record Crash(String request, String endpoint) {
	}

	/**
	 * The loss of an endpoint.
	 *
	 * @param endpoint the endpoint's start as text
	 * @param ageMillis how long before this message it was noticed, in milliseconds
	 */
	public record Loss(String endpoint, long ageMillis) {
	}

}
