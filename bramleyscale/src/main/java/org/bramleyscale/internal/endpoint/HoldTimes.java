package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * The periods and timeouts of memory holds, and the bounds on the time until held memory
 * is released.
 */
public final class HoldTimes {

	/** The interval at which a holder renews its holds and repeats pending requests. */
	public static final Duration RENEW_PERIOD = Duration.ofSeconds(2);

	/** The time without a message from a holder after which an owner ends its holds. */
	public static final Duration HOLDER_TIMEOUT = Duration.ofSeconds(6);

	/** The interval at which an owner renews the holds of a live holder at the engine. */
	public static final Duration ENGINE_RENEW_PERIOD = Duration.ofSeconds(10);

	/** The time after which an engine drops a hold that has not been renewed. */
	public static final Duration ENGINE_LIFETIME = Duration.ofSeconds(30);

	/**
	 * The interval at which an owner reconciles the engine's list of holds with its own.
	 */
	public static final Duration RECONCILE_PERIOD = Duration.ofSeconds(5);

	/** The timeout of a call to an engine, and the interval of the owner's checks. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * The longest time until memory is free after its holder crashed or released it, even
	 * if a message or a call was lost, given a live owner that holds its lease.
	 */
	public static final Duration MAX_RETENTION_WITH_OWNER = HOLDER_TIMEOUT.plus(RECONCILE_PERIOD).plus(CALL_TIMEOUT);

	/**
	 * The longest time until memory is free after its holder crashed, whatever else
	 * fails.
	 */
	public static final Duration MAX_RETENTION = HOLDER_TIMEOUT.plus(ENGINE_LIFETIME).plus(CALL_TIMEOUT);

	private HoldTimes() {
	}

}
