package org.bramleyscale.internal.gateway.placement;

/**
 * How many of a service's engines take long prompts.
 *
 * <p>
 * Reading a long prompt lengthens the passes of its engine, and every short answer that
 * is written there pauses for longer than its caller allows: 182,000 tokens read on one
 * engine hold its writers up for 1.6 s at a time. So the two get different engines. Short
 * answers get as many as they need, and long prompts all others: a lane that only grew
 * with the demand for it took engines on which short answers were still being written
 * (0.02 to 0.05 of the worth of three mixes of requests on modelled engines). Where the
 * long lane keeps as many engines as can read one prompt, short answers get more room, so
 * that a burst of them finds engines that are half empty. Daemons order engines by id and
 * work from the same sums, so they cut alike without asking each other. Immutable and
 * safe for use by multiple threads.
 *
 * @param engines the engines of the service
 * @param longEngines how many of them, the last ones, take long prompts
 */
public record LanePlan(int engines, int longEngines) {

	/**
	 * Engines kept for long prompts however many short ones are under way, as a part of
	 * all.
	 */
	static final double LONG_RESERVE = 0.1;

	/**
	 * Engines kept for short prompts however few are under way, as a part of all. Without
	 * them a burst of short prompts meets engines that still read long ones, and all of
	 * it meets on the few others: with 0.15 2.6, 2.4 and 2.0 in 100 short answers of
	 * three mixes on modelled engines were late, with 0.25 2.8, 2.3 and 1.4, with 0.3
	 * 2.3, 1.8 and 1.4; with 0.3 and many manuals, 0.83 to 1 of these came in time, with
	 * 0.25 0.85 or more.
	 */
	static final double SHORT_RESERVE = 0.25;

	/**
	 * Cuts the engines.
	 * @param engines how many there are
	 * @param slots the slots of each
	 * @param shortActive short requests under way
	 * @param shortFull the part of the short lane's slots that they may take
	 * @param shortRoomy the part that they may take while the long lane keeps enough
	 * engines to read a prompt
	 * @return the plan; both lanes have an engine wherever there are two
	 */
	public static LanePlan of(int engines, int slots, int shortActive, double shortFull, double shortRoomy) {
		int shortReserve = Math.max(1, (int) Math.round(engines * SHORT_RESERVE));
		int needed = enginesFor(shortActive, slots, shortFull);
		int roomy = Math.min(enginesFor(shortActive, slots, shortRoomy), engines - EnginePlacement.MOST_READERS);
		int forShort = Math.max(shortReserve, Math.max(needed, roomy));
		int longReserve = Math.max(1, (int) Math.round(engines * LONG_RESERVE));
		int longEngines = Math.max(Math.min(longReserve, engines - 1), engines - forShort);
		return new LanePlan(engines, Math.max(0, longEngines));
	}

	private static int enginesFor(int active, int slots, double full) {
		return (int) Math.ceil(active / (full * slots));
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
