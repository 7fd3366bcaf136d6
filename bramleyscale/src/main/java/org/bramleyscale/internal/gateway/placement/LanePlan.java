package org.bramleyscale.internal.gateway.placement;

/**
 * The division of a service's engines into lanes for short and for long prompts.
 *
 * <p>
 * The prefill of a long prompt lengthens the passes of its engine, and every short answer
 * generated there pauses for longer than its caller permits: 182,000 tokens processed on
 * one engine delay its streams by 1.6 s at a time. Short and long prompts therefore get
 * different engines. Short answers get as many as they need, and long prompts get all
 * others. A long lane that grew only with its own demand took engines on which short
 * answers were still being generated, which cost 0.02 to 0.05 of the worth of three mixes
 * of requests on modelled engines (see {@link PlacementTuning}). While the long lane
 * keeps as many engines as can share one prompt, short answers get additional engines, so
 * that a burst finds engines that are half empty. Daemons order engines by id and compute
 * from the same load sums, so they arrive at the same division without coordination.
 * Immutable and safe for use by multiple threads.
 *
 * @param engines the number of engines of the service
 * @param longEngines how many of them, the last in the order of ids, take long prompts
 */
public record LanePlan(int engines, int longEngines) {

	/**
	 * The share of engines reserved for long prompts, however many short ones are active.
	 */
	static final double LONG_RESERVE = 0.1;

	/**
	 * The share of engines reserved for short prompts, however few are active. Without
	 * this reserve a burst of short prompts meets engines that still prefill long ones,
	 * and all of it goes to the few others. On modelled engines, late answers in 100
	 * short ones of three mixes were 2.6, 2.4 and 2.0 with 0.15, 2.8, 2.3 and 1.4 with
	 * 0.25, and 2.3, 1.8 and 1.4 with 0.3. In a mix with many manuals (long prompts),
	 * 0.83 to 1 of the manuals were in time with 0.3, and 0.85 or more with 0.25.
	 */
	static final double SHORT_RESERVE = 0.25;

	/**
	 * Divides the engines.
	 * @param engines the number of engines
	 * @param slots the slots of each engine
	 * @param shortActive the number of active short requests
	 * @param shortLaneFill the share of the short lane's slots that these may occupy
	 * @param shortLaneFillWithSpare the share that they may occupy while the long lane
	 * keeps enough engines to share one prompt
	 * @return the plan; both lanes have an engine if there are at least two engines
	 */
	public static LanePlan of(int engines, int slots, int shortActive, double shortLaneFill,
			double shortLaneFillWithSpare) {
		int shortReserve = Math.max(1, (int) Math.round(engines * SHORT_RESERVE));
		int needed = enginesFor(shortActive, slots, shortLaneFill);
		int neededWithSpare = Math.min(enginesFor(shortActive, slots, shortLaneFillWithSpare),
				engines - EnginePlacement.MAX_PREFILL_ENGINES);
		int shortEngines = Math.max(shortReserve, Math.max(needed, neededWithSpare));
		int longReserve = Math.max(1, (int) Math.round(engines * LONG_RESERVE));
		int longEngines = Math.max(Math.min(longReserve, engines - 1), engines - shortEngines);
		return new LanePlan(engines, Math.max(0, longEngines));
	}

	private static int enginesFor(int active, int slots, double fill) {
		return (int) Math.ceil(active / (fill * slots));
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
