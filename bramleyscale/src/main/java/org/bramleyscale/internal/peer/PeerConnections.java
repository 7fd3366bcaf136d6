package org.bramleyscale.internal.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Decides which connections to open, to use and to close.
 *
 * <p>
 * Of two VMs that want a connection to each other, the one with the smaller name dials;
 * the other dials only if no connection is opened within a grace period or if it has
 * something to send. A connection can become silent permanently without an error while
 * new ones work. Such a link receives nothing, not even heartbeats; a second link is then
 * opened beside it, and the silent one is closed only once the second has completed its
 * handshake. Confined to the scheduler's thread; deterministic given the clock and the
 * random generator.
 */
final class PeerConnections {

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private final VmId self;

	private final Clock clock;

	private final DialBackoff backoff;

	private final PeerDirectory directory;

	private final PeerDialler dialler;

	private final PeerTimings timings;

	private final long maxPendingBytes;

	private final PeerCounters counters;

	private final byte[] heartbeat;

	private final Map<VmId, PeerState> states = new TreeMap<>(BY_NAME);

	private final DuplicateLinkResolver duplicateLinkResolver;

	private long lastTick;

	PeerConnections(PeerEnvironment environment) {
		this.self = environment.self();
		this.clock = environment.clock();
		this.backoff = new DialBackoff(environment.timings(), environment.random());
		this.directory = environment.directory();
		this.dialler = environment.dialler();
		this.timings = environment.timings();
		this.maxPendingBytes = environment.maxPendingBytes();
		this.counters = environment.counters();
		this.heartbeat = environment.heartbeat();
		this.lastTick = this.clock.nanos();
		this.duplicateLinkResolver = new DuplicateLinkResolver(this.self, this.timings.silenceTimeout().toNanos());
	}

	/**
	 * Opens, pings and closes connections as needed; called a few times a second.
	 */
	void tick() {
		long now = this.clock.nanos();
		resetAfterOwnPause(now);
		Set<VmId> desired = this.directory.desiredPeers();
		for (VmId vm : desired) {
			if (!vm.equals(this.self)) {
				this.states.computeIfAbsent(vm, (key) -> new PeerState(key, now));
			}
		}
		for (PeerState state : new ArrayList<>(this.states.values())) {
			boolean isDesired = desired.contains(state.vm());
			closeDeadAndIdle(state, isDesired, now);
			state.sendHeartbeats(this.heartbeat, this.timings.heartbeatInterval().toNanos(), now);
			expirePending(state, now);
			dialIfNeeded(state, isDesired, now);
			removeIfUnused(state, isDesired, now);
		}
	}

	boolean send(VmId to, byte[] payload) {
		long now = this.clock.nanos();
		PeerState state = this.states.get(to);
		Optional<TrackedLink> link = (state != null) ? state.preferredLink(silentBefore(now)) : Optional.empty();
		boolean accepted = link.isPresent() ? link.get().send(payload, now) : sendOnDemand(to, payload, now);
		if (!accepted) {
			this.counters.sendRefused();
		}
		return accepted;
	}

	/**
	 * Returns the number of bytes queued for a VM.
	 * @param to the VM
	 * @return the bytes queued on the preferred link plus those pending for a new one
	 */
	long queuedBytes(VmId to) {
		PeerState state = this.states.get(to);
		if (state == null) {
			return 0;
		}
		long queued = state.preferredLink(silentBefore(this.clock.nanos())).map(TrackedLink::queuedBytes).orElse(0L);
		return queued + state.pendingBytes();
	}

	Set<VmId> connected() {
		long silentBefore = silentBefore(this.clock.nanos());
		Set<VmId> result = new TreeSet<>(BY_NAME);
		for (PeerState state : this.states.values()) {
			if (state.receivedSince(silentBefore)) {
				result.add(state.vm());
			}
		}
		return result;
	}

	/**
	 * Adds a link whose handshake is complete.
	 * @param link the link
	 */
	void opened(PeerLink link) {
		long now = this.clock.nanos();
		Incarnation remote = link.remote().incarnation();
		PeerState state = this.states.computeIfAbsent(remote.vm(), (key) -> new PeerState(key, now));
		if (state.hasIncarnationAfter(remote)) {
			reject(state, link);
			return;
		}
		if (state.updateIncarnation(remote)) {
			closeAll(state, List.copyOf(state.links()), now);
		}
		this.counters.opened();
		TrackedLink tracked = new TrackedLink(link, now);
		List<TrackedLink> earlier = List.copyOf(state.links());
		state.add(tracked);
		closeDuplicates(state, tracked, earlier, now);
		state.drainPending().forEach((payload) -> send(state.vm(), payload));
	}

	/**
	 * Removes a link that either side has closed.
	 * @param link the link
	 */
	void closed(PeerLink link) {
		PeerState state = this.states.get(link.remote().incarnation().vm());
		long now = this.clock.nanos();
		if (state != null && state.remove(link, now)) {
			state.dialNotBefore(now + this.timings.minBackoff().toNanos());
		}
	}

	/**
	 * Records a dial that failed to open a link.
	 * @param vm the VM that was dialled
	 */
	void dialFailed(VmId vm) {
		PeerState state = this.states.get(vm);
		if (state != null) {
			int failures = state.dialFailed();
			state.dialNotBefore(this.clock.nanos() + this.backoff.delayNanos(failures));
			this.counters.pendingLost(state.drainPending().size());
		}
	}

	/**
	 * Records that a frame was received on a link.
	 * @param link the link
	 * @param message whether it was a message rather than a heartbeat
	 * @return false if the link doesn't belong to the current incarnation of its VM, so
	 * that the message must be dropped
	 */
	boolean received(PeerLink link, boolean message) {
		Incarnation remote = link.remote().incarnation();
		PeerState state = this.states.get(remote.vm());
		if (state == null || !remote.equals(state.incarnation())) {
			this.counters.staleFrame();
			return false;
		}
		long now = this.clock.nanos();
		state.received(link, message, now);
		return true;
	}

	/**
	 * Returns the state of each peer, for the state dump.
	 * @return the summaries, ordered by name of VM
	 */
	List<PeerSummary> summaries() {
		long now = this.clock.nanos();
		return this.states.values().stream().map((state) -> PeerSummary.of(state, now)).toList();
	}

	/**
	 * Restarts the silence timeout of all links after a pause of this process. After a
	 * pause every link appears silent, since the frames that arrived meanwhile haven't
	 * been read yet, and without the restart all connections would be replaced at once.
	 * @param now the current time
	 */
	private void resetAfterOwnPause(long now) {
		if (now - this.lastTick > this.timings.silenceTimeout().toNanos() / 2) {
			this.states.values().forEach((state) -> state.links().forEach((link) -> link.received(now, false)));
		}
		this.lastTick = now;
	}

	private void reject(PeerState state, PeerLink link) {
		this.counters.staleFrame();
		link.close();
		if (link.dialled()) {
			dialFailed(state.vm());
		}
	}

	private void closeDuplicates(PeerState state, TrackedLink latest, List<TrackedLink> earlier, long now) {
		for (TrackedLink link : earlier) {
			TrackedLink toClose = this.duplicateLinkResolver.linkToClose(link, latest, now);
			closeAll(state, List.of(toClose), now);
			if (toClose == latest) {
				return;
			}
		}
	}

	private boolean hasSmallerName(VmId other) {
		return BY_NAME.compare(this.self, other) < 0;
	}

	private boolean sendOnDemand(VmId to, byte[] payload, long now) {
		if (to.equals(this.self) || this.directory.address(to).isEmpty()) {
			return false;
		}
		PeerState state = this.states.computeIfAbsent(to, (key) -> new PeerState(key, now));
		boolean fits = state.pendingBytes() + payload.length <= this.maxPendingBytes;
		boolean dialAllowed = state.failures() == 0 || state.mayDial(now);
		if (!fits || !dialAllowed) {
			return false;
		}
		state.enqueue(payload, now);
		dialIfNeeded(state, false, now);
		return true;
	}

	private void dialIfNeeded(PeerState state, boolean desired, long now) {
		if (!state.mayDial(now)) {
			return;
		}
		boolean replacing = !state.links().isEmpty();
		if (replacing ? allSilent(state, now) : (state.hasPending() || (desired && mayInitiate(state, now)))) {
			this.directory.address(state.vm()).ifPresent((address) -> {
				state.dialStarted();
				this.dialler.dial(state.vm(), address, replacing);
			});
		}
	}

	private boolean mayInitiate(PeerState state, long now) {
		return hasSmallerName(state.vm()) || now - state.withoutLinkSince() >= this.timings.dialGrace().toNanos();
	}

	private boolean allSilent(PeerState state, long now) {
		boolean allSilent = !state.receivedSince(silentBefore(now));
		if (allSilent) {
			state.links().stream().filter(TrackedLink::reportSilenceOnce).forEach((link) -> this.counters.silent());
		}
		return allSilent;
	}

	private void closeDeadAndIdle(PeerState state, boolean desired, long now) {
		long deadBefore = now - this.timings.closeTimeout().toNanos();
		long idleBefore = now - this.timings.idleTimeout().toNanos();
		closeAll(state, state.deadOrIdleLinks(deadBefore, idleBefore, desired), now);
	}

	private void closeAll(PeerState state, List<TrackedLink> links, long now) {
		for (TrackedLink link : links) {
			state.remove(link.link(), now);
			link.link().close();
		}
	}

	private void expirePending(PeerState state, long now) {
		if (state.hasPending() && now - state.pendingSince() > this.timings.pendingTimeout().toNanos()) {
			this.counters.pendingLost(state.drainPending().size());
		}
	}

	private void removeIfUnused(PeerState state, boolean desired, long now) {
		boolean inUse = desired || !state.links().isEmpty() || state.hasPending() || state.dialling();
		boolean backoffMatters = state.failures() > 0 && now - state.nextDialAt() < this.timings.maxBackoff().toNanos();
		if (!inUse && !backoffMatters) {
			this.states.remove(state.vm());
		}
	}

	private long silentBefore(long now) {
		return now - this.timings.silenceTimeout().toNanos();
	}

}
