package org.bramleyscale.internal.gateway.node;

import java.time.Duration;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The planned stop of a daemon that relays requests.
 *
 * <p>
 * The daemon removes itself from the answers about addresses at once, continues to serve
 * until callers that kept an old answer have queried again, then accepts no new
 * connections, and exits with the last request. Callers use open connections until the
 * process has exited; a late request on one of them is accepted only if it ends before
 * the process. Invariant: the stop ends before the platform would kill the process.
 * Confined to the scheduler's thread.
 */
final class LeaveSequence {

	/** Some callers keep an answer about addresses three times as long as they should. */
	private static final int ADDRESS_KEEP_FACTOR = 3;

	/**
	 * The time for the last answers to reach their callers before the process is killed.
	 */
	private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final Scheduler scheduler;

	private final GatewaySettings settings;

	private final Actions actions;

	private final DecisionLog log;

	private long begunAt;

	private boolean begun;

	private Cancellable checks = () -> {
	};

	LeaveSequence(Scheduler scheduler, GatewaySettings settings, Actions actions, DecisionLog log) {
		this.scheduler = scheduler;
		this.settings = settings;
		this.actions = actions;
		this.log = log;
	}

	/**
	 * Starts the stop; calling again has no effect.
	 */
	void begin() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.begunAt = this.scheduler.nanos();
		this.log.daemon("stop", "unfinished", this.actions.activeRequestCount(), "connections",
				this.actions.connections());
		this.actions.announce();
		this.checks = this.scheduler.repeat(CHECK_INTERVAL, this::check);
	}

	boolean begun() {
		return this.begun;
	}

	/**
	 * Whether a request is accepted: any as long as callers may not have queried
	 * addresses again, and later those that end before this daemon exits. Any other would
	 * be cut off in the middle of its answer, while a refusal makes its caller try
	 * another daemon at once.
	 * @param timeLeft the time left until the request's deadline
	 * @return true if it is accepted
	 */
	boolean accepts(Duration timeLeft) {
		return !this.begun || elapsed().compareTo(addressRetention()) < 0
				|| elapsed().plus(timeLeft).compareTo(maxDuration()) <= 0;
	}

	private Duration elapsed() {
		return Duration.ofNanos(this.scheduler.nanos() - this.begunAt);
	}

	private Duration addressRetention() {
		return this.settings.addressKeepFor().multipliedBy(ADDRESS_KEEP_FACTOR);
	}

	private Duration maxDuration() {
		return this.settings.grace().minus(EXIT_MARGIN);
	}

	private void check() {
		Duration elapsed = elapsed();
		boolean idle = elapsed.compareTo(addressRetention().plus(CHECK_INTERVAL)) > 0
				&& this.actions.activeRequestCount() == 0;
		boolean expired = elapsed.compareTo(maxDuration()) > 0;
		if (expired || idle) {
			this.checks.cancel();
			this.log.daemon("end", "unfinished", this.actions.activeRequestCount(), "after_ms", elapsed.toMillis());
			this.actions.end();
		}
	}

	/**
	 * The effects of the stop on the daemon.
	 */
	interface Actions {

		/** Announces the stop to peers and callers. */
		void announce();

		int activeRequestCount();

		int connections();

		/** Closes idle connections and ends the process. */
		void end();

	}

}
