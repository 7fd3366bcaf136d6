package org.bramleyscale.internal.gateway.placement;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadBoard;

/**
 * One placed request on the load board: its work at the target and at each helper.
 *
 * <p>
 * Invariant: after {@link #end()} nothing of it is left on the board. Confined to the
 * board's thread.
 */
public final class PlacedWork {

	private final List<LoadBoard.Work> works = new ArrayList<>();

	private PlacedWork() {
	}

	/**
	 * Notes a request that is sent as placed.
	 * @param loads the board
	 * @param placement where it goes; must have a target
	 * @param route its route
	 * @param tokens the context that it needs on all engines together
	 * @return the work, to be told when its prompt is read and when it ends
	 */
	public static PlacedWork begin(LoadBoard loads, Placement placement, Route route, long tokens) {
		PlacedWork work = new PlacedWork();
		work.works.add(loads.begin(placement.target().orElseThrow().start(), placement.readMillis(),
				Math.max(0, tokens - placement.held()), true, pauseMillis(route)));
		for (Backend helper : placement.helpers()) {
			work.works.add(loads.begin(helper.start(), placement.readMillis(), placement.heldAt(helper), false,
					EndpointLoad.ANY_PAUSE));
		}
		return work;
	}

	/**
	 * Tells that the prompt has been read.
	 */
	public void read() {
		this.works.forEach(LoadBoard.Work::read);
	}

	/**
	 * Tells that the request has ended; calling again has no effect.
	 */
	public void end() {
		this.works.forEach(LoadBoard.Work::end);
	}

	/**
	 * The pause that callers of a route bear between events.
	 * @param route the route
	 * @return ms; one that says nothing bears any, and not none, or engines that write
	 * for it would never have room for a long prompt
	 */
	private static int pauseMillis(Route route) {
		boolean said = route.streaming() && !route.longestPause().isZero();
		return said ? (int) route.longestPause().toMillis() : EndpointLoad.ANY_PAUSE;
	}

}
