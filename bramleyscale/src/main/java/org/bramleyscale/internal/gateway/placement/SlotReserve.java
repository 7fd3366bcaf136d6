package org.bramleyscale.internal.gateway.placement;

import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.load.DemandTracker;

/**
 * The slots that requests leave free for more urgent ones, for services whose requests
 * have different priorities.
 *
 * <p>
 * At an overload every slot that becomes free would go to a request that waits, and a new
 * urgent request, which is in time only if it hardly waits, would find none. Stateless
 * and safe for use by multiple threads.
 */
public final class SlotReserve {

	/**
	 * Passes of an engine whose slots are taken until the first event of a short prompt:
	 * the rest of the pass in progress, the prompt's own pass, and as much again for
	 * prompts that other daemons send there at the same time.
	 */
	private static final int PASSES_TO_FIRST_EVENT = 4;

	/**
	 * Slots that a request which misses its target leaves free at its engine. Otherwise
	 * each slot that becomes free goes to a request that is late already, and the next
	 * urgent one is late, too.
	 */
	private static final int LEFT_BY_LATE = 1;

	/**
	 * Slots that a request of a less urgent priority leaves free at its engine: one more
	 * than a late request, so that a late urgent request comes before it.
	 */
	private static final int LEFT_BY_LESS_URGENT = 2;

	/**
	 * The share of the slots needed by the arrivals of the last second from which on
	 * slots are left free. Below it slots become free without that, and those left free
	 * would only be missing.
	 */
	private static final double CROWDED_SHARE = 0.85;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private SlotReserve() {
	}

	/**
	 * The free slots that a request leaves at its engine. A request that was sent before
	 * leaves none: its caller has waited for one attempt already.
	 * @param request the request
	 * @param engines the number of engines of its service that belong to a lane
	 * @param demands the arrivals on all daemons
	 * @return the number, 0 if it may take the last slot
	 */
	static int slotsLeftBy(PlacementRequest request, int engines, DemandTracker demands) {
		boolean first = request.tried().isEmpty();
		if (!first || !request.service().prioritiesDiffer() || !crowded(request.service(), engines, demands)) {
			return 0;
		}
		EngineProfile profile = request.service().engine().orElseThrow();
		double waited = request.waited().toNanos() / NANOS_PER_MILLI;
		double target = request.route().targetLatency().toMillis();
		boolean late = waited + firstEventMillis(profile) > target;
		int left = (late ? LEFT_BY_LATE : 0) + ((request.priority() > 0) ? LEFT_BY_LESS_URGENT : 0);
		return Math.min(left, profile.slots() - 1);
	}

	/**
	 * Whether short requests arrive faster than the engines can serve them.
	 * @param service the service
	 * @param engines the number of its engines
	 * @param demands the arrivals on all daemons
	 * @return true if there will hardly be a free slot
	 */
	private static boolean crowded(Service service, int engines, DemandTracker demands) {
		int slots = engines * service.engine().orElseThrow().slots();
		return demands.shortSlots(service.name()) >= CROWDED_SHARE * slots;
	}

	/**
	 * The time that a request occupies a slot of an engine whose slots are taken.
	 * @param profile the profile of the engine
	 * @param promptTokens the length of the prompt
	 * @param outputTokens the length of the answer
	 * @return ms
	 */
	public static double slotMillis(EngineProfile profile, long promptTokens, long outputTokens) {
		return profile.prefillMillis(promptTokens) + profile.decodeMillis(Math.max(1, outputTokens), profile.slots());
	}

	/**
	 * The time from the placement of a short prompt to its first event at an engine whose
	 * slots are taken. It doesn't depend on the prompt's length: otherwise longer ones
	 * would count as late when they arrive, and would be served half as often as others.
	 * @param profile the profile of the engine
	 * @return ms
	 */
	public static double firstEventMillis(EngineProfile profile) {
		return PASSES_TO_FIRST_EVENT * profile.passMillis(profile.slots(), 0);
	}

}
