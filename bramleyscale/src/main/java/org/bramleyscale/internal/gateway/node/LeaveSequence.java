package org.bramleyscale.internal.gateway.node;

import java.time.Duration;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The planned stop of a daemon that relays requests.
 *
 * <p>
 * Out of the address answers at once, then on serving until those who kept an old answer
 * have asked again, then no new connections, and the end with the last request. Callers
 * use open connections until the process is gone; what they send late is taken only if it
 * ends before the process. Invariant: the stop ends before the platform would kill the
 * process. Confined to the scheduler's thread.
 */
final class LeaveSequence {

	/** Some callers keep an answer about addresses three times as long as they should. */
	private static final int KEPT_TIMES = 3;

	/** Time for the last answers to reach their callers before the process is killed. */
	private static final Duration MARGIN = Duration.ofMillis(700);

	private static final Duration CHECK = Duration.ofMillis(100);

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
	 * Begins; calling again has no effect.
	 */
	void begin() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.begunAt = this.scheduler.nanos();
		this.log.daemon("stop", "unfinished", this.actions.unfinished(), "connections", this.actions.connections());
		this.actions.announce();
		this.checks = this.scheduler.repeat(CHECK, this::check);
	}

	boolean begun() {
		return this.begun;
	}

	/**
	 * Whether a request is still taken: while callers may not have asked for addresses
	 * again, and later if it ends before this daemon. One that was taken after that would
	 * be cut in the middle of its answer, while a refusal sends its caller elsewhere at
	 * once.
	 * @param timeLeft the request's time
	 * @return true if it is
	 */
	boolean takes(Duration timeLeft) {
		return !this.begun || since().compareTo(kept()) < 0 || since().plus(timeLeft).compareTo(longest()) <= 0;
	}

	private Duration since() {
		return Duration.ofNanos(this.scheduler.nanos() - this.begunAt);
	}

	private Duration kept() {
		return this.settings.addressKeepFor().multipliedBy(KEPT_TIMES);
	}

	private Duration longest() {
		return this.settings.grace().minus(MARGIN);
	}

	private void check() {
		Duration since = since();
		boolean unused = since.compareTo(kept().plus(CHECK)) > 0 && this.actions.unfinished() == 0;
		boolean last = since.compareTo(longest()) > 0;
		if (last || unused) {
			this.checks.cancel();
			this.log.daemon("end", "unfinished", this.actions.unfinished(), "after_ms", since.toMillis());
			this.actions.end();
		}
	}

	/**
	 * What the stop does to the daemon.
	 */
	interface Actions {

		/** Tells peers and callers. */
		void announce();

		int unfinished();

		int connections();

		/** Closes idle connections and ends the process. */
		void end();

	}

}
