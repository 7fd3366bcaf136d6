package org.bramleyscale.internal.gateway.backend;

/**
 * Applies the notices in endpoints' answers, whatever request they answer.
 *
 * <p>
 * Limits in notices aren't handled here: they count only in answers to requests that ran.
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
	 * Applies a notice.
	 * @param endpoint the endpoint that sent it
	 * @param notice the notice
	 */
	public void apply(EndpointStart endpoint, EndpointNotice notice) {
		if (notice.leaving()) {
			this.presence.announceLeaving(endpoint);
		}
		notice.backoff().ifPresent((backoff) -> this.health.backoffRequested(endpoint, backoff));
	}

	/**
	 * Whether an endpoint that was selected earlier may still be sent a new request.
	 * @param endpoint the endpoint as last known
	 * @return false if it is leaving, was removed, or has restarted
	 */
	public boolean acceptsRequests(Backend endpoint) {
		return this.presence.acceptsRequests(endpoint);
	}

}
