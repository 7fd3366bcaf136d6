package org.bramleyscale.internal.gateway.placement;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.load.EndpointLoad;

/**
 * An engine that may take a request, with what speaks for and against it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param backend the engine
 * @param load what it has to do
 * @param longLane whether long prompts go there
 * @param avoided whether it failed lately
 * @param rests whether it wants nothing from this daemon
 * @param open whether it may get a request from this daemon now
 * @param extra what failures add to its score, ms
 * @param profile how it works
 */
record Candidate(Backend backend, EndpointLoad load, boolean longLane, boolean avoided, boolean rests, boolean open,
		double extra, EngineProfile profile) {

	/**
	 * Part of an engine's memory that is promised. An answer may grow beyond what was
	 * declared, and an engine without memory stops its newest request.
	 */
	static final double USED_MEMORY = 0.92;

	/** What each request under way adds to an engine's score, ms: it takes a slot. */
	private static final double ACTIVE_MILLIS = 12;

	/**
	 * Requests that daemons may have an engine help with at the same moment, before they
	 * learn of each other's. An engine refuses to help more requests than it has slots,
	 * and with that the target refuses the whole request.
	 */
	private static final int HELP_UNTOLD = 2;

	private static final double AVOIDED_MILLIS = 100_000;

	private static final double OTHER_LANE_MILLIS = 1_000;

	private static final double FULL_MILLIS = 4_000;

	/**
	 * How late this engine begins to read, and what else speaks against it.
	 * @return the score, ms; the least is the best
	 */
	double readScore() {
		return this.load.readMillis() + this.extra + (this.avoided ? AVOIDED_MILLIS : 0);
	}

	/**
	 * How well this engine suits a request that pauses of other requests would hurt.
	 * @return the score, ms; the least is the best
	 */
	double shortScore() {
		double score = readScore() + ACTIVE_MILLIS * this.load.active();
		if (this.longLane) {
			score += OTHER_LANE_MILLIS;
		}
		return full() ? score + FULL_MILLIS : score;
	}

	/**
	 * What may still be read there so that its streams keep to their pauses.
	 * @param pauseShare the part of a pause that a pass may take
	 * @param freeMillis what it may have before it if no stream minds a pause, ms; an
	 * idle engine may read any length
	 * @return ms of reading; negative if a stream there pauses too long already
	 */
	double roomMillis(double pauseShare, double freeMillis) {
		if (this.load.pauseMillis() == EndpointLoad.ANY_PAUSE) {
			return (this.load.readMillis() > 0) ? freeMillis - this.load.readMillis() : Double.MAX_VALUE;
		}
		double pass = this.profile.passMillis(this.load.active(), this.load.tokens());
		return pauseShare * (this.load.pauseMillis() - pass) - this.load.readMillis();
	}

	boolean full() {
		return this.load.active() >= this.profile.slots();
	}

	/**
	 * Whether it would help to read another prompt.
	 * @return false if it rests, or helps almost as many as it may
	 */
	boolean mayHelp() {
		return !this.rests && this.load.helping() + HELP_UNTOLD < this.profile.slots();
	}

	/**
	 * How much more its memory may be promised.
	 * @return the tokens of context, possibly negative
	 */
	long freeTokens() {
		return (long) (USED_MEMORY * this.profile.memoryTokens()) - this.load.tokens();
	}

}
