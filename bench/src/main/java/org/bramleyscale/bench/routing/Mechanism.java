package org.bramleyscale.bench.routing;

import java.util.Locale;

/**
 * The mechanisms whose worth the ablations measure by leaving one out.
 */
enum Mechanism {

	/** Long prompts kept to a part of the endpoints. */
	LANES,

	/** Short prompts at a higher priority at the engine. */
	PRIORITY,

	/** Own work in flight added to the lagging report. */
	OWN_WORK,

	/** Learnt speeds. */
	LEARNT_SPEED,

	/** Speeds told to the other entries. */
	SPEED_EXCHANGE,

	/** Prefix affinity. */
	AFFINITY,

	/** Ejection and penalty of late endpoints. */
	HEALTH,

	/** Different entries prefer different endpoints. */
	ENTRY_HOMES,

	/** Long prompts wait at the entry rather than at a busy engine. */
	ENTRY_QUEUE,

	/** Refusal of what can't finish in time. */
	DEADLINE_CHECK;

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
