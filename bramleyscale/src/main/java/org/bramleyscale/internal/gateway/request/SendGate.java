package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.crash.Verdict;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Lets one request pass to endpoints, judged by what became of those that ran it.
 *
 * <p>
 * Invariants: a trial is claimed before each sending that is one; after {@link #close} it
 * calls nobody. Confined to the scheduler's thread.
 */
final class SendGate {

	/** The pause between looks at a verdict that isn't there yet. */
	static final Duration LOOK = Duration.ofMillis(25);

	/** A trial of a short request has ended by then. */
	static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

	/** Nothing about a request that isn't sent any more changes by itself. */
	private static final Duration DEADLY_PAUSE = Duration.ofMinutes(1);

	private static final Duration UNDECIDED_PAUSE = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final CrashGuard crashes;

	private final RequestDigest digest;

	private final Refusal refusal;

	private boolean granted;

	private boolean trial;

	private boolean closed;

	private long waitsSince;

	private Cancellable look;

	/**
	 * Makes the gate.
	 * @param scheduler the daemon's scheduler
	 * @param crashes judges requests
	 * @param digest the request
	 * @param refusal called instead of sending
	 */
	SendGate(Scheduler scheduler, CrashGuard crashes, RequestDigest digest, Refusal refusal) {
		this.scheduler = scheduler;
		this.crashes = crashes;
		this.digest = digest;
		this.refusal = refusal;
	}

	/**
	 * Sends the request now, in a moment, or not at all.
	 * @param send sends it
	 */
	void pass(Runnable send) {
		if (this.closed) {
			return;
		}
		Verdict verdict = this.granted ? Verdict.CLEAR : this.crashes.verdict(this.digest);
		switch (verdict) {
			case CLEAR, SUSPECT -> send.run();
			case TRIAL -> this.crashes.claimTrial(this.digest, (claimed) -> {
				this.granted = claimed;
				later(send);
			});
			case WAIT -> later(send);
			case DEADLY -> this.refusal.refuse("endpoints end under this request", DEADLY_PAUSE);
		}
	}

	/**
	 * Notes that the request was sent; a trial is used up with that.
	 */
	void sent() {
		this.trial = this.granted;
		this.granted = false;
		this.look = null;
	}

	/**
	 * Notes that the last sending reached no endpoint, so that a trial is still to come.
	 */
	void notArrived() {
		this.granted = this.trial;
	}

	void fell(Backend endpoint) {
		this.crashes.fell(this.digest, endpoint);
	}

	/**
	 * Notes that an endpoint has begun to answer.
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent there
	 */
	void answered(EndpointStart endpoint, long sentAt) {
		this.crashes.answered(endpoint, sentAt);
	}

	void survived() {
		this.crashes.survived(this.digest);
	}

	void close() {
		this.closed = true;
		if (this.look != null) {
			this.look.cancel();
		}
	}

	private void later(Runnable send) {
		if (this.closed) {
			return;
		}
		if (this.granted) {
			pass(send);
			return;
		}
		long now = this.scheduler.nanos();
		if (this.look == null) {
			this.waitsSince = now;
		}
		if (now - this.waitsSince >= LONGEST_WAIT.toNanos()) {
			this.refusal.refuse("whether endpoints end under this request isn't known yet", UNDECIDED_PAUSE);
			return;
		}
		this.look = this.scheduler.schedule(LOOK, () -> pass(send));
	}

	/**
	 * Ends a request that isn't sent.
	 */
	@FunctionalInterface
	interface Refusal {

		/**
		 * Called once at the most.
		 * @param reason why
		 * @param retryAfter when to come back
		 */
		void refuse(String reason, Duration retryAfter);

	}

}
