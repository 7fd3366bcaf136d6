package org.bramleyscale.internal.gateway.placement;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.load.EndpointLoad;

/**
 * An engine that may take a request, with the inputs of its score.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param backend the engine
 * @param load its current load
 * @param longLane whether it belongs to the lane for long prompts
 * @param avoided whether it failed recently and is used only as a last resort
 * @param mayHelp whether it may prefill parts of other prompts now
 * @param available whether this daemon may send it a request now
 * @param penaltyMillis what recent failures add to its score, ms
 * @param distanceMillis the round-trip network delay between this daemon and the engine,
 * ms
 * @param profile its performance profile
 */
record Candidate(Backend backend, EndpointLoad load, boolean longLane, boolean avoided, boolean mayHelp,
		boolean available, double penaltyMillis, double distanceMillis, EngineProfile profile) {

	/**
	 * The share of an engine's memory that may be committed. An answer may exceed its
	 * declared length, and an engine that runs out of memory stops its newest request.
	 */
	static final double MAX_MEMORY_SHARE = 0.92;

	/** What each active request adds to an engine's score, ms, since it takes a slot. */
	private static final double ACTIVE_REQUEST_PENALTY_MILLIS = 12;

	/**
	 * Helper requests that other daemons may have started on an engine and not yet
	 * reported. An engine refuses to help with more requests than it has slots, and its
	 * refusal makes the target refuse the whole request.
	 */
	private static final int UNREPORTED_HELP_RESERVE = 2;

	private static final double AVOIDED_PENALTY_MILLIS = 100_000;

	private static final double LONG_LANE_PENALTY_MILLIS = 1_000;

	private static final double FULL_PENALTY_MILLIS = 4_000;

	/**
	 * The expected delay before this engine starts to prefill the prompt, plus penalties.
	 * @return the score, ms; lower is better
	 */
	double prefillScore() {
		return this.load.prefillMillis() + this.penaltyMillis + (this.avoided ? AVOIDED_PENALTY_MILLIS : 0);
	}

	/**
	 * How well this engine suits a request that is sensitive to pauses caused by other
	 * requests.
	 * @return the score, ms; lower is better
	 */
	double shortScore() {
		double score = prefillScore() + this.distanceMillis + ACTIVE_REQUEST_PENALTY_MILLIS * this.load.active();
		if (this.longLane) {
			score += LONG_LANE_PENALTY_MILLIS;
		}
		return full() ? score + FULL_PENALTY_MILLIS : score;
	}

	/**
	 * The prefill work that this engine can take without exceeding the permitted pauses
	 * of its streams.
	 * @param pauseShare the share of a pause that a pass may take
	 * @param idleBacklogMillis the largest prefill backlog, ms, at which an engine still
	 * takes work if none of its streams limits its pauses; an engine without a backlog
	 * takes a prompt of any length
	 * @return ms of prefill; negative if a stream there already pauses for too long
	 */
	double prefillHeadroomMillis(double pauseShare, double idleBacklogMillis) {
		if (this.load.pauseMillis() == EndpointLoad.ANY_PAUSE) {
			return (this.load.prefillMillis() > 0) ? idleBacklogMillis - this.load.prefillMillis() : Double.MAX_VALUE;
		}
		double pass = this.profile.passMillis(this.load.active(), this.load.tokens());
		return pauseShare * (this.load.pauseMillis() - pass) - this.load.prefillMillis();
	}

	int freeSlots() {
		return this.profile.slots() - this.load.active();
	}

	boolean full() {
		return this.load.active() >= this.profile.slots();
	}

	/**
	 * Whether it can help to prefill another prompt.
	 * @return false if it may not now, or is close to the number of requests that it may
	 * help with
	 */
	boolean canHelp() {
		return this.mayHelp && this.load.helping() + UNREPORTED_HELP_RESERVE < this.profile.slots();
	}

	/**
	 * The memory that can still be committed.
	 * @return the KV-cache tokens, possibly negative
	 */
	long freeTokens() {
		return (long) (MAX_MEMORY_SHARE * this.profile.memoryTokens()) - this.load.tokens();
	}

}
