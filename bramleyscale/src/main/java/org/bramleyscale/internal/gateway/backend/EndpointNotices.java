package org.bramleyscale.internal.gateway.backend;

/**
 * Takes what endpoints say of themselves, in whatever answer, and knows what follows.
 *
 * <p>
 * Named limits are no part of it: they count only in answers to requests that ran.
 * Confined to the scheduler's thread.
 */
public final class EndpointNotices {

	private final EndpointPresence presence;

	private final BackendHealth health;

	public EndpointNotices(EndpointPresence presence, BackendHealth health) {
		this.presence = presence;
		this.health = health;
	}

	/**
	 * Takes a notice.
	 * @param endpoint who gives it
	 * @param notice what it says
	 */
	public void heard(EndpointStart endpoint, EndpointNotice notice) {
		if (notice.leaving()) {
			this.presence.leaves(endpoint);
		}
		notice.rest().ifPresent((rest) -> this.health.asksForRest(endpoint, rest));
	}

	/**
	 * Whether an endpoint that was chosen before may still be sent something new.
	 * @param endpoint the endpoint as it was known
	 * @return false if it leaves, rests, is gone, or has started again
	 */
	public boolean takes(Backend endpoint) {
		return this.presence.offers(endpoint) && this.health.restLeft(endpoint.start()).isZero();
	}

}
