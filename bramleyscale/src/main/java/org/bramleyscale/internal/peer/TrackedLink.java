package org.bramleyscale.internal.peer;

/**
 * A link with the times at which it was last used.
 *
 * <p>
 * Confined to the scheduler's thread. Times are monotonic nanoseconds.
 */
final class TrackedLink {

	private final PeerLink link;

	private final long openedAt;

	private long receivedAt;

	private long sentAt;

	private long messageAt;

	private boolean silenceReported;

	TrackedLink(PeerLink link, long now) {
		this.link = link;
		this.openedAt = now;
		this.receivedAt = now;
		this.sentAt = now;
		this.messageAt = now;
	}

	PeerLink link() {
		return this.link;
	}

	long openedAt() {
		return this.openedAt;
	}

	boolean silent(long silentBefore) {
		return this.receivedAt - silentBefore < 0;
	}

	/**
	 * Marks the link as reported silent.
	 * @return true only for the first call since the link last received a frame
	 */
	boolean reportSilenceOnce() {
		boolean first = !this.silenceReported;
		this.silenceReported = true;
		return first;
	}

	void received(long now, boolean message) {
		this.receivedAt = now;
		this.silenceReported = false;
		if (message) {
			this.messageAt = now;
		}
	}

	boolean send(byte[] payload, long now) {
		this.messageAt = now;
		this.sentAt = now;
		return this.link.send(payload);
	}

	long queuedBytes() {
		return this.link.queuedBytes();
	}

	void sendHeartbeatIfDue(byte[] payload, long intervalNanos, long now) {
		if (now - this.sentAt >= intervalNanos) {
			this.sentAt = now;
			this.link.send(payload);
		}
	}

	/**
	 * Returns whether this side opened the link and it has carried no message for a
	 * while.
	 * @param idleBefore links that last carried a message before this are idle
	 * @return true if this side should close it unless the peer is desired
	 */
	boolean idle(long idleBefore) {
		return this.link.dialled() && this.messageAt - idleBefore < 0;
	}

	long receivedAt() {
		return this.receivedAt;
	}

}
