package org.bramleyscale.internal.gateway.node;

import java.time.Duration;

import org.bramleyscale.internal.gateway.http.CallerServer;
import org.bramleyscale.internal.gateway.request.OpenRequests;
import org.bramleyscale.internal.membership.MembershipService;

/**
 * The effects of a planned stop on the components of a daemon. Confined to the
 * scheduler's thread.
 *
 * @param callers the connections of callers
 * @param membership announces the stop to peers
 * @param requests the open requests of callers
 * @param onStopped called once the stop is complete
 */
record LeaveActions(CallerServer callers, MembershipService membership, OpenRequests requests,
		Runnable onStopped) implements LeaveSequence.Actions {

	@Override
	public void announce() {
		this.callers.leave();
		this.membership.leave();
	}

	@Override
	public int openRequestCount() {
		return this.requests.count();
	}

	@Override
	public int connections() {
		return this.callers.connections();
	}

	@Override
	public void daemonStops(Duration untilExit) {
		this.requests.daemonStops(untilExit);
	}

	@Override
	public void daemonExits() {
		this.requests.daemonExits();
	}

	@Override
	public void end() {
		this.callers.closeIdle();
		this.onStopped.run();
	}

}
