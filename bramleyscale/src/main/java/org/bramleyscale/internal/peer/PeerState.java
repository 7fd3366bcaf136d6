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
 * What {@link PeerConnections} knows of one VM.
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

	boolean metLaterThan(Incarnation other) {
		return this.incarnation != null && other.start() < this.incarnation.start();
	}

	/**
	 * Notes the incarnation at the other end of a new link.
	 * @param newest the incarnation
	 * @return whether it replaces an earlier one
	 */
	boolean meet(Incarnation newest) {
		boolean replaces = this.incarnation != null && !this.incarnation.equals(newest);
		this.incarnation = newest;
		return replaces;
	}

	List<TrackedLink> links() {
		return this.links;
	}

	/**
	 * The link to send on: the newest that isn't silent, else the newest.
	 * @param silentBefore links heard last before this are silent
	 * @return the link, or empty if there is none
	 */
	Optional<TrackedLink> best(long silentBefore) {
		TrackedLink best = null;
		for (TrackedLink link : this.links) {
			if (best == null || !link.silent(silentBefore) || best.silent(silentBefore)) {
				best = link;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Whether a link was heard lately.
	 * @param silentBefore links heard last before this are silent
	 * @return false if there is no link or all are silent
	 */
	boolean heardSince(long silentBefore) {
		return this.links.stream().anyMatch((link) -> !link.silent(silentBefore));
	}

	void heard(PeerLink link, boolean message, long now) {
		for (TrackedLink tracked : this.links) {
			if (tracked.link() == link) {
				tracked.heard(now, message);
			}
		}
	}

	/**
	 * The links to close.
	 * @param deadBefore links heard last before this are given up
	 * @param idleBefore links used last before this are idle
	 * @param desired whether idle links are kept
	 * @return the links
	 */
	List<TrackedLink> useless(long deadBefore, long idleBefore, boolean desired) {
		return this.links.stream()
			.filter((link) -> link.silent(deadBefore) || (!desired && link.idle(idleBefore)))
			.toList();
	}

	/**
	 * Sends a heartbeat on each link on which nothing was sent for a while.
	 * @param payload the heartbeat
	 * @param nanos the while
	 * @param now the time
	 */
	void ping(byte[] payload, long nanos, long now) {
		for (TrackedLink link : this.links) {
			link.pingIfQuiet(payload, nanos, now);
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
	 * @param now the time
	 * @return whether it was there
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
	 * Notes a failed dial.
	 * @return how many dials in a row have failed
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
	 * Takes all waiting messages.
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
