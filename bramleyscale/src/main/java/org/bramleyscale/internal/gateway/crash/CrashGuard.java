package org.bramleyscale.internal.gateway.crash;

import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Prevents requests that crash the endpoints which run them from reaching further
 * endpoints.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface CrashGuard {

	/** Allows every request; for tests and tools. */
	CrashGuard NONE = new CrashGuard() {

		@Override
		public Verdict verdict(RequestDigest request) {
			return Verdict.CLEAR;
		}

		@Override
		public void claimTrial(RequestDigest request, Consumer<Boolean> granted) {
			granted.accept(false);
		}

		@Override
		public void connectionLost(RequestDigest request, Backend endpoint) {
			// Nothing is recorded.
		}

		@Override
		public void completed(RequestDigest request) {
			// Nothing is recorded.
		}

		@Override
		public void answered(EndpointStart endpoint, long sentAt) {
			// Nothing is recorded.
		}

	};

	/**
	 * Decides before each attempt whether a request may be sent.
	 * @param request the request
	 * @return the verdict
	 */
	Verdict verdict(RequestDigest request);

	/**
	 * Claims a trial of a request. At most one daemon of the fleet holds the trial of a
	 * request at any time.
	 * @param request a request whose verdict is {@link Verdict#TRIAL}
	 * @param granted called once, possibly within this call, with whether the request may
	 * be sent
	 */
	void claimTrial(RequestDigest request, Consumer<Boolean> granted);

	/**
	 * Records that a request's connection broke or became unresponsive while the request
	 * may have been running.
	 * @param request the request
	 * @param endpoint the endpoint
	 */
	void connectionLost(RequestDigest request, Backend endpoint);

	/**
	 * Records that an endpoint has run a request to completion.
	 * @param request the request
	 */
	void completed(RequestDigest request);

	/**
	 * Records that an endpoint has answered.
	 * @param endpoint the endpoint
	 * @param sentAt when the answered request was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, long sentAt);

}
