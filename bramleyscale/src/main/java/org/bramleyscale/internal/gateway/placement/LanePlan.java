package org.bramleyscale.internal.gateway.placement;

/**
 * How many of a service's engines take long prompts.
 *
 * <p>
 * Reading a long prompt lengthens the passes of its engine, and every short answer that
 * is written there pauses for longer than its caller allows: 182,000 tokens read on one
 * engine hold its writers up for 1.6 s at a time. So the two get different engines.
 * Daemons order engines by id and work from the same sums, so they cut alike without
 * asking each other. Immutable and safe for use by multiple threads.
 *
 * @param engines the engines of the service
 * @param longEngines how many of them, the last ones, take long prompts
 */
public record LanePlan(int engines, int longEngines) {

	/**
	 * How busy the long lane's engines may be on average; a prompt's parts wait for the
	 * slowest of many engines. On fake engines with many manuals (mean of eight seeds),
	 * with this, {@link #BACKLOG_MILLIS} and all engines of the lane reading, 0.80 of the
	 * manuals and 0.79 of the quotes were in time; with 0.55, 1,500 ms and only the least
	 * busy ones reading, 0.69 and 0.75.
	 */
	static final double LONG_BUSY = 0.4;

	/**
	 * Reading that each engine of the long lane may have before it, ms: two parts of a
	 * manual that seventeen engines read. The average demand follows a burst of long
	 * prompts only after seconds.
	 */
	static final double BACKLOG_MILLIS = 500;

	/** Part of the short lane's slots that may be taken before it grows. */
	static final double SHORT_FULL = 0.75;

	/** Engines kept for long prompts when none have come lately, as a part of all. */
	static final double LONG_RESERVE = 0.1;

	/**
	 * Engines kept for short prompts however few are under way, as a part of all. Without
	 * them a burst of short prompts meets engines that still read long ones.
	 */
	static final double SHORT_RESERVE = 0.15;

	/**
	 * Cuts the engines.
	 * @param engines how many there are
	 * @param slots the slots of each
	 * @param shortActive short requests under way
	 * @param longDemand engines kept busy by the reading that long prompts ask for
	 * @param backlogMillis reading not yet done, ms
	 * @return the plan; both lanes have an engine wherever there are two
	 */
	public static LanePlan of(int engines, int slots, int shortActive, double longDemand, double backlogMillis) {
		int shortReserve = Math.max(1, (int) Math.round(engines * SHORT_RESERVE));
		int forShort = Math.max(shortReserve, (int) Math.ceil(shortActive / (SHORT_FULL * slots)));
		int reserve = Math.max(1, (int) Math.round(engines * LONG_RESERVE));
		double needed = Math.max(longDemand / LONG_BUSY, backlogMillis / BACKLOG_MILLIS);
		int wanted = Math.max(reserve, (int) Math.ceil(needed));
		int longEngines = Math.max(Math.min(reserve, engines - 1), Math.min(wanted, engines - forShort));
		return new LanePlan(engines, Math.max(0, longEngines));
	}

	/**
	 * Whether an engine takes long prompts.
	 * @param position its position in the order of ids
	 * @return true if it is in the long lane
	 */
	public boolean isLong(int position) {
		return position >= this.engines - this.longEngines;
	}

}
