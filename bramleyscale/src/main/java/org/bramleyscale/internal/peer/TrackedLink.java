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

	long queued() {
		return this.link.queued();
	}

	void pingIfQuiet(byte[] payload, long nanos, long now) {
		if (now - this.sentAt >= nanos) {
			this.sentAt = now;
			this.link.send(payload);
		}
	}

	/**
	 * Whether this side opened the link and nothing has used it for long.
	 * @param idleBefore links used last before this are idle
	 * @return true if this side should close it unless the peer is desired
	 */
	boolean idle(long idleBefore) {
		return this.link.dialled() && this.usedAt - idleBefore < 0;
	}

	long heardAt() {
		return this.heardAt;
	}

}
