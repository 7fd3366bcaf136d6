package org.bramleyscale.internal.peer;

/**
 * One link with the times of its last use.
 *
 * <p>
 * Confined to the scheduler's thread. Times are monotonic nanoseconds.
 */
final class TrackedLink {

	private final PeerLink link;

	private final long openedAt;

	private long heardAt;

	private long sentAt;

	private long usedAt;

	private boolean reportedSilent;

	TrackedLink(PeerLink link, long now) {
		this.link = link;
		this.openedAt = now;
		this.heardAt = now;
		this.sentAt = now;
		this.usedAt = now;
	}

	PeerLink link() {
		return this.link;
	}

	long openedAt() {
		return this.openedAt;
	}

	boolean silent(long silentBefore) {
		return this.heardAt - silentBefore < 0;
	}

	/**
	 * Whether this is the first time that the link is reported as silent.
	 * @return true once
	 */
	boolean reportSilent() {
		boolean first = !this.reportedSilent;
		this.reportedSilent = true;
		return first;
	}

	void heard(long now, boolean message) {
		this.heardAt = now;
		this.reportedSilent = false;
		if (message) {
			this.usedAt = now;
		}
	}

	boolean send(byte[] payload, long now) {
		this.usedAt = now;
		this.sentAt = now;
		return this.link.send(payload);
	}

	void ping(byte[] payload, long now) {
		this.sentAt = now;
		this.link.send(payload);
	}

	long heardAt() {
		return this.heardAt;
	}

	long sentAt() {
		return this.sentAt;
	}

	long usedAt() {
		return this.usedAt;
	}

}
