package org.bramleyscale.internal.gateway.placement;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadTracker;

/**
 * The load of one placed request: its work at the target and at each helper.
 *
 * <p>
 * Invariant: after {@link #end()} the load tracker has no work of this request. Confined
 * to the load tracker's thread.
 */
public final class PlacedWork {

	private final List<LoadTracker.Work> parts = new ArrayList<>();

	private PlacedWork() {
	}

	/**
	 * Records a request as sent according to its placement.
	 * @param loads the load tracker
	 * @param placement the placement; must have a target
	 * @param route the request's route
	 * @param tokens the KV-cache tokens that it needs on all engines together
	 * @return the work, on which the caller reports the end of the prefill and of the
	 * request
	 */
	public static PlacedWork begin(LoadTracker loads, Placement placement, Route route, long tokens) {
		PlacedWork work = new PlacedWork();
		work.parts.add(loads.begin(placement.target().orElseThrow().start(), placement.prefillMillis(),
				Math.max(0, tokens - placement.heldTokens()), true, pauseMillis(route)));
		for (Backend helper : placement.helpers()) {
			work.parts.add(loads.begin(helper.start(), placement.prefillMillis(), placement.heldAt(helper), false,
					EndpointLoad.ANY_PAUSE));
		}
		return work;
	}

	/**
	 * Records that the prefill of the prompt has completed.
	 */
	public void prefillDone() {
		this.parts.forEach(LoadTracker.Work::prefillDone);
	}

	/**
	 * Records that the request has ended; has no effect when called again.
	 */
	public void end() {
		this.parts.forEach(LoadTracker.Work::end);
	}

	/**
	 * The longest pause between events that a route permits.
	 * @param route the route
	 * @return ms; a route without a limit permits any pause, since a limit of zero would
	 * leave its engines no time to prefill long prompts
	 */
	private static int pauseMillis(Route route) {
		boolean limited = route.streaming() && !route.longestPause().isZero();
		return limited ? (int) route.longestPause().toMillis() : EndpointLoad.ANY_PAUSE;
	}

}
