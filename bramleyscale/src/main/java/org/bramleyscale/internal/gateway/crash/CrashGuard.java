package org.bramleyscale.internal.gateway.crash;

import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Prevents requests that crash the endpoints which run them from reaching further
 * endpoints, whether the cause is the request or a part that it shares with others.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface CrashGuard {

	/** Allows every request; for tests and tools. */
	CrashGuard NONE = new CrashGuard() {

		@Override
		public Verdict verdict(CrashCauses causes) {
			return Verdict.CLEAR;
		}

		@Override
		public void claimTrial(CrashCauses causes, Consumer<Boolean> granted) {
			granted.accept(false);
		}

		@Override
		public void connectionLost(CrashCauses causes, Backend endpoint) {
			// Nothing is recorded.
		}

		@Override
		public void trialFailed(CrashCauses causes, Backend endpoint) {
			// Nothing is recorded.
		}

		@Override
		public void trialLost(CrashCauses causes) {
			// Nothing is recorded.
		}

		@Override
		public void trialNotMade(CrashCauses causes) {
			// Nothing is recorded.
		}

		@Override
		public void completed(CrashCauses causes) {
			// Nothing is recorded.
		}

		@Override
		public void survived(CrashCauses causes) {
			// Nothing is recorded.
		}

		@Override
		public void closed(CrashCauses causes, EndpointStart endpoint) {
			// Nothing is recorded.
		}

		@Override
		public void unreachable(Backend endpoint) {
			// Nothing is recorded.
		}

		@Override
		public CrashCause refused(CrashCauses causes) {
			return causes.request();
		}

		@Override
		public void answered(EndpointStart endpoint, long sentAt) {
			// Nothing is recorded.
		}

	};

	/**
	 * Decides before each attempt whether a request may be sent.
	 * @param causes the request's causes
	 * @return the verdict
	 */
	Verdict verdict(CrashCauses causes);

	/**
	 * Claims a trial of all causes of a request that need one. At most one daemon of the
	 * fleet holds the trial of a cause at any time.
	 * @param causes the causes of a request whose verdict is {@link Verdict#TRIAL}
	 * @param granted called once, possibly within this call, with whether the request may
	 * be sent
	 */
	void claimTrial(CrashCauses causes, Consumer<Boolean> granted);

	/**
	 * Records that a request's connection broke or became unresponsive while the request
	 * may have been running.
	 * @param causes the request's causes
	 * @param endpoint the endpoint
	 */
	void connectionLost(CrashCauses causes, Backend endpoint);

	/**
	 * Records that the connection of a trial broke or became unresponsive. Whether the
	 * endpoint has crashed is the outcome of the trial. To be called before
	 * {@link #connectionLost}.
	 * @param causes the request's causes
	 * @param endpoint the endpoint
	 */
	void trialFailed(CrashCauses causes, Backend endpoint);

	/**
	 * Ends a trial that was made and can't have an outcome any more: its caller has gone,
	 * or the endpoint has answered with a failure.
	 * @param causes the request's causes
	 */
	void trialLost(CrashCauses causes);

	/**
	 * Returns a trial that was claimed and whose request reached no endpoint.
	 * @param causes the request's causes
	 */
	void trialNotMade(CrashCauses causes);

	/**
	 * Records that an endpoint has run a request to completion: its response was whole,
	 * by its framing, and a success. Clears the request and the parts of its prompt.
	 * @param causes the request's causes
	 */
	void completed(CrashCauses causes);

	/**
	 * Records that an endpoint has responded itself, but not that it wrote a whole answer
	 * on the prompt. Clears the request alone.
	 * @param causes the request's causes
	 */
	void survived(CrashCauses causes);

	/**
	 * Records that a response looks whole, and was a success, but that only the end of
	 * its connection shows its end. Clears the request; clears the parts of its prompt
	 * once the endpoint answers again, and counts against them if it turns out to have
	 * crashed.
	 * @param causes the request's causes
	 * @param endpoint the endpoint
	 */
	void closed(CrashCauses causes, EndpointStart endpoint);

	/**
	 * Records that an endpoint can't be connected to.
	 * @param endpoint the endpoint
	 */
	void unreachable(Backend endpoint);

	/**
	 * Records that a blocked request is refused.
	 * @param causes the request's causes
	 * @return the cause that is blocked
	 */
	CrashCause refused(CrashCauses causes);

	/**
	 * Records that an endpoint has answered.
	 * @param endpoint the endpoint
	 * @param sentAt when the answered request was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, long sentAt);

}
