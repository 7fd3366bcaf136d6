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
 * the process. Requests that still wait are refused in time for their callers to go
 * elsewhere. Invariants: the stop ends once no request is open or its time is up; each
 * request that is open then gets its end before the process exits; the stop ends before
 * the platform would kill the process. Confined to the scheduler's thread.
 */
final class LeaveSequence {

	/** Some callers keep an answer about addresses three times as long as they should. */
	private static final int ADDRESS_KEEP_FACTOR = 3;

	/**
	 * The time for the last answers to reach their callers before the process is killed.
	 */
	private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/** The part of {@link #EXIT_MARGIN} that the end of the process itself may take. */
	private static final Duration KILL_MARGIN = Duration.ofMillis(400);

	private final Scheduler scheduler;

	private final GatewaySettings settings;

	private final Actions actions;

	private final DecisionLog log;

	private long begunAt;

	private boolean begun;

	private boolean timeIsUp;

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
		this.log.daemon("stop", "unfinished", this.actions.openRequestCount(), "connections",
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
		if (!this.timeIsUp && elapsed.compareTo(maxDuration()) > 0) {
			this.timeIsUp = true;
			this.log.daemon("time is up", "unfinished", this.actions.openRequestCount(), "after_ms",
					elapsed.toMillis());
			this.actions.daemonExits();
		}
		else if (!this.timeIsUp) {
			this.actions.daemonStops(maxDuration().minus(elapsed));
		}
		boolean idle = elapsed.compareTo(addressRetention().plus(CHECK_INTERVAL)) > 0
				&& this.actions.openRequestCount() == 0;
		boolean expired = elapsed.compareTo(this.settings.grace().minus(KILL_MARGIN)) > 0;
		if (expired || idle) {
			this.checks.cancel();
			this.log.daemon("end", "unfinished", this.actions.openRequestCount(), "after_ms", elapsed.toMillis());
			this.actions.end();
		}
	}

	/**
	 * The effects of the stop on the daemon.
	 */
	interface Actions {

		/** Announces the stop to peers and callers. */
		void announce();

		int openRequestCount();

		int connections();

		/**
		 * Refuses the requests that would wait for too long.
		 * @param untilExit the time until the daemon exits
		 */
		void daemonStops(Duration untilExit);

		/** Ends the requests that are still open. */
		void daemonExits();

		/** Closes idle connections and ends the process. */
		void end();

	}

}
