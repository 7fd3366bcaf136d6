package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.CrashCause;
import org.bramleyscale.internal.gateway.crash.CrashCauses;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.crash.Verdict;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Decides whether one request may be sent to endpoints, based on whether it has crashed
 * endpoints before.
 *
 * <p>
 * Invariants: a trial is claimed before each sending that counts as one; after
 * {@link #close} nothing is called. Confined to the scheduler's thread.
 */
final class SendGate {

	/** Time between checks of a verdict that is still pending. */
	static final Duration RECHECK_INTERVAL = Duration.ofMillis(25);

	/** A trial of a short request has ended within this time. */
	static final Duration MAX_WAIT = Duration.ofSeconds(2);

	/** The verdict on a request that isn't sent any more doesn't change by itself. */
	private static final Duration CRASHING_RETRY_AFTER = Duration.ofMinutes(1);

	private static final Duration UNDECIDED_RETRY_AFTER = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final CrashGuard crashes;

	private final CrashCauses causes;

	private final Refusal refusal;

	private boolean trialGranted;

	private boolean lastSendWasTrial;

	private boolean closed;

	private long waitingSince;

	private Cancellable recheck;

	/**
	 * Creates the gate.
	 * @param scheduler the daemon's scheduler
	 * @param crashes judges requests
	 * @param causes the causes that the request has
	 * @param refusal called instead of sending
	 */
	SendGate(Scheduler scheduler, CrashGuard crashes, CrashCauses causes, Refusal refusal) {
		this.scheduler = scheduler;
		this.crashes = crashes;
		this.causes = causes;
		this.refusal = refusal;
	}

	/**
	 * Sends the request at once, after a short wait, or not at all.
	 * @param send sends it
	 */
	void pass(Runnable send) {
		if (this.closed) {
			return;
		}
		Verdict verdict = this.trialGranted ? Verdict.CLEAR : this.crashes.verdict(this.causes);
		switch (verdict) {
			case CLEAR, SUSPECT -> send.run();
			case TRIAL -> this.crashes.claimTrial(this.causes, (claimed) -> {
				this.trialGranted = claimed;
				returnTrialIfClosed();
				recheckLater(send);
			});
			case WAIT -> recheckLater(send);
			case BLOCKED -> refuseBlocked();
		}
	}

	/**
	 * Whether the request would be sent without a wait.
	 * @return false if it needs a trial, has to wait for one, or is blocked
	 */
	boolean passesAtOnce() {
		if (this.closed || this.trialGranted) {
			return !this.closed;
		}
		Verdict verdict = this.crashes.verdict(this.causes);
		return verdict == Verdict.CLEAR || verdict == Verdict.SUSPECT;
	}

	/**
	 * Whether a request that was placed, and then waited, may still be sent.
	 * @return false if it has been suspected meanwhile and holds no trial
	 */
	boolean stillPasses() {
		return this.lastSendWasTrial || passesAtOnce();
	}

	/**
	 * Records that the request was sent, which uses up a trial.
	 */
	void sent() {
		this.lastSendWasTrial = this.trialGranted;
		this.trialGranted = false;
		this.recheck = null;
	}

	/**
	 * Whether a trial is under way whose outcome others wait for.
	 * @return true if the request isn't to be taken from an endpoint that is silent
	 */
	boolean trialRuns() {
		return this.lastSendWasTrial;
	}

	/**
	 * Records that the last sending reached no endpoint, so that its trial remains
	 * available.
	 */
	void notDelivered() {
		this.trialGranted = this.lastSendWasTrial;
		this.lastSendWasTrial = false;
	}

	void endpointFailed(Backend endpoint) {
		if (this.lastSendWasTrial) {
			this.lastSendWasTrial = false;
			this.crashes.trialFailed(this.causes, endpoint);
		}
		this.crashes.connectionLost(this.causes, endpoint);
	}

	/**
	 * Records that an endpoint has started to respond.
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent to it
	 */
	void answered(EndpointStart endpoint, long sentAt) {
		this.crashes.answered(endpoint, sentAt);
	}

	/**
	 * Records that an endpoint has responded itself and to the end.
	 * @param from the attempt
	 * @param head the head of its response
	 */
	void responded(Attempt from, BackendHead head) {
		if (!head.success()) {
			this.crashes.survived(this.causes);
			loseTrial();
			return;
		}
		this.lastSendWasTrial = false;
		if (from.endedByFraming()) {
			this.crashes.completed(this.causes);
		}
		else {
			this.crashes.closed(this.causes, from.target().start());
		}
	}

	void endpointUnreachable(Backend endpoint) {
		this.crashes.unreachable(endpoint);
	}

	void close() {
		this.closed = true;
		returnTrialIfClosed();
		loseTrial();
		if (this.recheck != null) {
			this.recheck.cancel();
		}
	}

	private void loseTrial() {
		if (this.lastSendWasTrial) {
			this.lastSendWasTrial = false;
			this.crashes.trialLost(this.causes);
		}
	}

	private void returnTrialIfClosed() {
		if (this.closed && this.trialGranted) {
			this.trialGranted = false;
			this.crashes.trialNotMade(this.causes);
		}
	}

	private void refuseBlocked() {
		CrashCause cause = this.crashes.refused(this.causes);
		String what = cause.shared() ? "a part of this request, " + cause : "this request";
		this.refusal.refuse("endpoints end under " + what, CRASHING_RETRY_AFTER);
	}

	private void recheckLater(Runnable send) {
		if (this.closed) {
			return;
		}
		if (this.trialGranted) {
			pass(send);
			return;
		}
		long now = this.scheduler.nanos();
		if (this.recheck == null) {
			this.waitingSince = now;
		}
		if (now - this.waitingSince >= MAX_WAIT.toNanos()) {
			this.refusal.refuse("not known yet whether this request crashes endpoints", UNDECIDED_RETRY_AFTER);
			return;
		}
		this.recheck = this.scheduler.schedule(RECHECK_INTERVAL, () -> pass(send));
	}

	/**
	 * Refuses a request instead of sending it.
	 */
	@FunctionalInterface
	interface Refusal {

		/**
		 * Called at most once.
		 * @param reason the reason
		 * @param retryAfter when the caller should retry
		 */
		void refuse(String reason, Duration retryAfter);

	}

}
