package org.bramleyscale.internal.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;

/**
 * The links, pending messages and dial state of one VM.
 *
 * <p>
 * Confined to the scheduler's thread. Times are monotonic nanoseconds.
 */
final class PeerState {

	private final VmId vm;

	private final List<TrackedLink> links = new ArrayList<>();

	private final Deque<byte[]> pending = new ArrayDeque<>();

	private Incarnation incarnation;

	private boolean dialling;

	private int failures;

	private long nextDialAt;

	private long withoutLinkSince;

	private long pendingSince;

	private long pendingBytes;

	PeerState(VmId vm, long now) {
		this.vm = vm;
		this.withoutLinkSince = now;
		this.nextDialAt = now;
	}

	VmId vm() {
		return this.vm;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	boolean hasIncarnationAfter(Incarnation other) {
		return this.incarnation != null && other.start() < this.incarnation.start();
	}

	/**
	 * Sets the incarnation at the other end of a new link.
	 * @param newest the incarnation
	 * @return whether it replaces an earlier one
	 */
	boolean updateIncarnation(Incarnation newest) {
		boolean replaces = this.incarnation != null && !this.incarnation.equals(newest);
		this.incarnation = newest;
		return replaces;
	}

	List<TrackedLink> links() {
		return this.links;
	}

	/**
	 * Returns the link to send on: the newest that isn't silent, else the newest.
	 * @param silentBefore links that last received a frame before this are silent
	 * @return the link, or empty if there is none
	 */
	Optional<TrackedLink> preferredLink(long silentBefore) {
		TrackedLink preferred = null;
		for (TrackedLink link : this.links) {
			if (preferred == null || !link.silent(silentBefore) || preferred.silent(silentBefore)) {
				preferred = link;
			}
		}
		return Optional.ofNullable(preferred);
	}

	/**
	 * Returns whether any link has received a frame since a time.
	 * @param silentBefore links that last received a frame before this are silent
	 * @return false if there is no link or all are silent
	 */
	boolean receivedSince(long silentBefore) {
		return this.links.stream().anyMatch((link) -> !link.silent(silentBefore));
	}

	void received(PeerLink link, boolean message, long now) {
		for (TrackedLink tracked : this.links) {
			if (tracked.link() == link) {
				tracked.received(now, message);
			}
		}
	}

	/**
	 * Returns the links to close.
	 * @param deadBefore links that last received a frame before this are dead
	 * @param idleBefore links that last carried a message before this are idle
	 * @param desired whether the peer is desired, so that idle links are kept
	 * @return the links to close
	 */
	List<TrackedLink> deadOrIdleLinks(long deadBefore, long idleBefore, boolean desired) {
		return this.links.stream()
			.filter((link) -> link.silent(deadBefore) || (!desired && link.idle(idleBefore)))
			.toList();
	}

	/**
	 * Sends a heartbeat on each link on which nothing was sent for an interval.
	 * @param payload the encoded heartbeat
	 * @param intervalNanos the interval
	 * @param now the current time
	 */
	void sendHeartbeats(byte[] payload, long intervalNanos, long now) {
		for (TrackedLink link : this.links) {
			link.sendHeartbeatIfDue(payload, intervalNanos, now);
		}
	}

	void add(TrackedLink link) {
		this.links.add(link);
		this.dialling &= !link.link().dialled();
		this.failures = 0;
	}

	/**
	 * Removes a link.
	 * @param link the link
	 * @param now the current time
	 * @return whether the link was present
	 */
	boolean remove(PeerLink link, long now) {
		boolean removed = this.links.removeIf((tracked) -> tracked.link() == link);
		if (removed && this.links.isEmpty()) {
			this.withoutLinkSince = now;
		}
		return removed;
	}

	boolean mayDial(long now) {
		return !this.dialling && now - this.nextDialAt >= 0;
	}

	boolean dialling() {
		return this.dialling;
	}

	void dialStarted() {
		this.dialling = true;
	}

	/**
	 * Records a failed dial.
	 * @return the number of consecutive failed dials
	 */
	int dialFailed() {
		this.dialling = false;
		return ++this.failures;
	}

	void dialNotBefore(long at) {
		this.nextDialAt = at;
	}

	long nextDialAt() {
		return this.nextDialAt;
	}

	int failures() {
		return this.failures;
	}

	long withoutLinkSince() {
		return this.withoutLinkSince;
	}

	boolean hasPending() {
		return !this.pending.isEmpty();
	}

	long pendingBytes() {
		return this.pendingBytes;
	}

	long pendingSince() {
		return this.pendingSince;
	}

	void enqueue(byte[] payload, long now) {
		if (this.pending.isEmpty()) {
			this.pendingSince = now;
		}
		this.pending.add(payload);
		this.pendingBytes += payload.length;
	}

	/**
	 * Removes and returns all pending messages.
	 * @return the payloads in the order of sending
	 */
	List<byte[]> drainPending() {
		List<byte[]> payloads = new ArrayList<>();
		for (Iterator<byte[]> iterator = this.pending.iterator(); iterator.hasNext();) {
			payloads.add(iterator.next());
			iterator.remove();
		}
		this.pendingBytes = 0;
		return payloads;
	}

}
