package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * The times after which held memory is free again.
 */
public final class HoldTimes {

	/** How often a holder renews its holds, and repeats what it waits for. */
	public static final Duration RENEW_PERIOD = Duration.ofSeconds(2);

	/** An owner that doesn't hear a holder for so long ends its holds. */
	public static final Duration SILENCE = Duration.ofSeconds(6);

	/** How often an owner renews at the engine a hold whose holder is heard. */
	public static final Duration ENGINE_RENEW_PERIOD = Duration.ofSeconds(10);

	/** An engine drops a hold that nobody renews for so long. */
	public static final Duration ENGINE_LIFETIME = Duration.ofSeconds(30);

	/** How often an owner compares the engine's list of holds with its own. */
	public static final Duration RECONCILE_PERIOD = Duration.ofSeconds(5);

	/** How long a call to an engine may take, and how often owners look after holds. */
	private static final Duration CALL = Duration.ofSeconds(2);

	/**
	 * With a live owner that holds its lease, memory is free so long after its holder
	 * died or gave it back, even if a message or a call was lost.
	 */
	public static final Duration FREED_BY_OWNER = SILENCE.plus(RECONCILE_PERIOD).plus(CALL);

	/** Memory is free so long after its holder died, whatever else fails meanwhile. */
	public static final Duration FREED_ALWAYS = SILENCE.plus(ENGINE_LIFETIME).plus(CALL);

	private HoldTimes() {
	}

}
