package org.bramleyscale.internal.gateway.contention;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.bramleyscale.internal.admission.Backlog;
import org.bramleyscale.internal.time.Clock;

/**
 * The rates at which waiting requests of one service have been placed recently, from
 * which the time of a request in the queue is predicted.
 *
 * <p>
 * Long prompts have a rate of their own, since they wait for other engines. Confined to
 * the scheduler's thread.
 */
final class ServiceRates {

	/**
	 * The mix of prompts turns every ten seconds, so a rate must not outlast a few.
	 */
	private static final double TIME_CONSTANT_SECONDS = 2;

	/**
	 * A rate that was observed for a shorter time isn't used: answers end in clusters,
	 * and a short gap between them doesn't mean that there is no capacity.
	 */
	private static final double MIN_OBSERVED_SECONDS = 0.5;

	/** Longer than any request may wait; sums with it don't overflow. */
	private static final double MAX_PREDICTED_SECONDS = 3_600;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final Clock clock;

	private final Map<Need, Backlog> backlogs = new EnumMap<>(Need.class);

	private final Map<Need, Double> waitingMillis = new EnumMap<>(Need.class);

	ServiceRates(Clock clock) {
		this.clock = clock;
		for (Need lane : new Need[] { Need.SLOT, Need.LONG_LANE }) {
			this.backlogs.put(lane, new Backlog(TIME_CONSTANT_SECONDS));
			this.waitingMillis.put(lane, 0.0);
		}
	}

	/**
	 * The lane whose rate applies to a need.
	 * @param need the need
	 * @return {@link Need#LONG_LANE} or {@link Need#SLOT}
	 */
	static Need lane(Need need) {
		return (need == Need.LONG_LANE) ? Need.LONG_LANE : Need.SLOT;
	}

	void waits(ContendingRequest request) {
		backlog(request).add(cost(request), this.clock.nanos());
		this.waitingMillis.merge(lane(request.need()), request.costMillis(), Double::sum);
	}

	void started(ContendingRequest request) {
		backlog(request).start(cost(request), this.clock.nanos());
		this.waitingMillis.merge(lane(request.need()), -request.costMillis(), Double::sum);
	}

	void removed(ContendingRequest request) {
		backlog(request).remove(cost(request), this.clock.nanos());
		this.waitingMillis.merge(lane(request.need()), -request.costMillis(), Double::sum);
	}

	/**
	 * The predicted time until work of a need has been placed.
	 * @param need the need
	 * @param costMillis the work, ms
	 * @return the time; zero if the rate isn't known yet
	 */
	Duration timeFor(Need need, double costMillis) {
		Backlog backlog = this.backlogs.get(lane(need));
		if (backlog.observedSeconds() < MIN_OBSERVED_SECONDS) {
			return Duration.ZERO;
		}
		double seconds = Math.min(backlog.secondsFor(costMillis), MAX_PREDICTED_SECONDS);
		return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
	}

	/**
	 * The predicted time until all work has been placed that waits with a need.
	 * @param need the need
	 * @return the time; zero if the rate isn't known yet
	 */
	Duration drainTime(Need need) {
		return timeFor(need, Math.max(0, this.waitingMillis.get(lane(need))));
	}

	private Backlog backlog(ContendingRequest request) {
		return this.backlogs.get(lane(request.need()));
	}

	private static long cost(ContendingRequest request) {
		return Math.max(1, Math.round(request.costMillis()));
	}

}
