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
 * Of two VMs that are desired peers of each other, the one with the smaller name dials;
 * the other dials only if none comes within a grace time or if it has something to send.
 * A connection can go silent for good without an error while new ones work. It shows as a
 * link on which not even heartbeats are heard; a second link is then opened beside it,
 * and only once that one is proven is the silent one closed. Confined to the scheduler's
 * thread; deterministic given the clock and the random generator.
 */
final class PeerConnections {

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private final VmId self;

	private final Clock clock;

	private final DialBackoff backoff;

	private final PeerDirectory directory;

	private final PeerDialler dialler;

	private final PeerTimes times;

	private final long mostPendingBytes;

	private final PeerCounters counters;

	private final byte[] ping;

	private final Map<VmId, PeerState> states = new TreeMap<>(BY_NAME);

	private final LinkRivalry rivalry;

	private long lastTick;

	PeerConnections(PeerEnvironment environment) {
		this.self = environment.self();
		this.clock = environment.clock();
		this.backoff = new DialBackoff(environment.times(), environment.random());
		this.directory = environment.directory();
		this.dialler = environment.dialler();
		this.times = environment.times();
		this.mostPendingBytes = environment.mostPendingBytes();
		this.counters = environment.counters();
		this.ping = environment.ping();
		this.lastTick = this.clock.nanos();
		this.rivalry = new LinkRivalry(this.self, this.times.silence().toNanos());
	}

	/**
	 * Looks at each peer; to be called a few times a second.
	 */
	void tick() {
		long now = this.clock.nanos();
		forgiveOwnPause(now);
		Set<VmId> desired = this.directory.desiredPeers();
		for (VmId vm : desired) {
			if (!vm.equals(this.self)) {
				this.states.computeIfAbsent(vm, (key) -> new PeerState(key, now));
			}
		}
		for (PeerState state : new ArrayList<>(this.states.values())) {
			boolean isDesired = desired.contains(state.vm());
			closeUseless(state, isDesired, now);
			state.ping(this.ping, this.times.heartbeat().toNanos(), now);
			expirePending(state, now);
			dialIfNeeded(state, isDesired, now);
			forgetIfUnused(state, isDesired, now);
		}
	}

	boolean send(VmId to, byte[] payload) {
		long now = this.clock.nanos();
		PeerState state = this.states.get(to);
		Optional<TrackedLink> link = (state != null) ? state.best(silentBefore(now)) : Optional.empty();
		boolean accepted = link.isPresent() ? link.get().send(payload, now) : sendOnDemand(to, payload, now);
		if (!accepted) {
			this.counters.refusedSend();
		}
		return accepted;
	}

	/**
	 * What waits to be sent to a VM.
	 * @param to the VM
	 * @return the bytes that the connection in use hasn't taken
	 */
	long queued(VmId to) {
		PeerState state = this.states.get(to);
		if (state == null) {
			return 0;
		}
		long waiting = state.best(silentBefore(this.clock.nanos())).map(TrackedLink::queued).orElse(0L);
		return waiting + state.pendingBytes();
	}

	Set<VmId> connected() {
		long silentBefore = silentBefore(this.clock.nanos());
		Set<VmId> result = new TreeSet<>(BY_NAME);
		for (PeerState state : this.states.values()) {
			if (state.heardSince(silentBefore)) {
				result.add(state.vm());
			}
		}
		return result;
	}

	/**
	 * Takes a link whose greeting is complete.
	 * @param link the link
	 */
	void opened(PeerLink link) {
		long now = this.clock.nanos();
		Incarnation remote = link.remote().incarnation();
		PeerState state = this.states.computeIfAbsent(remote.vm(), (key) -> new PeerState(key, now));
		if (state.metLaterThan(remote)) {
			refuse(state, link);
			return;
		}
		if (state.meet(remote)) {
			closeAll(state, List.copyOf(state.links()), now);
		}
		this.counters.opened();
		TrackedLink tracked = new TrackedLink(link, now);
		List<TrackedLink> earlier = List.copyOf(state.links());
		state.add(tracked);
		settle(state, tracked, earlier, now);
		state.drainPending().forEach((payload) -> send(state.vm(), payload));
	}

	/**
	 * Notes that a link has ended, by whichever side.
	 * @param link the link
	 */
	void closed(PeerLink link) {
		PeerState state = this.states.get(link.remote().incarnation().vm());
		long now = this.clock.nanos();
		if (state != null && state.remove(link, now)) {
			state.dialNotBefore(now + this.times.shortestBackoff().toNanos());
		}
	}

	/**
	 * Notes that a dial brought no link.
	 * @param vm the VM dialled
	 */
	void dialFailed(VmId vm) {
		PeerState state = this.states.get(vm);
		if (state != null) {
			int failures = state.dialFailed();
			state.dialNotBefore(this.clock.nanos() + this.backoff.pause(failures));
			this.counters.lostPending(state.drainPending().size());
		}
	}

	/**
	 * Notes that something arrived on a link.
	 * @param link the link
	 * @param message whether it was a message rather than a heartbeat
	 * @return false if the link belongs to an earlier incarnation or was replaced by one
	 * of a later incarnation, so that the message must be dropped
	 */
	boolean heard(PeerLink link, boolean message) {
		Incarnation remote = link.remote().incarnation();
		PeerState state = this.states.get(remote.vm());
		if (state == null || !remote.equals(state.incarnation())) {
			this.counters.staleFrame();
			return false;
		}
		long now = this.clock.nanos();
		state.heard(link, message, now);
		return true;
	}

	/**
	 * The state of each peer, for the state dump.
	 * @return the peers by name
	 */
	List<PeerSummary> summaries() {
		long now = this.clock.nanos();
		return this.states.values().stream().map((state) -> PeerSummary.of(state, now)).toList();
	}

	/**
	 * Takes a pause of this process for what it is. After a pause every link looks
	 * silent, since the frames that arrived meanwhile haven't been read yet; a daemon
	 * that believed it would replace all its connections at once.
	 * @param now the time
	 */
	private void forgiveOwnPause(long now) {
		if (now - this.lastTick > this.times.silence().toNanos() / 2) {
			this.states.values().forEach((state) -> state.links().forEach((link) -> link.heard(now, false)));
		}
		this.lastTick = now;
	}

	private void refuse(PeerState state, PeerLink link) {
		this.counters.staleFrame();
		link.close();
		if (link.dialled()) {
			dialFailed(state.vm());
		}
	}

	private void settle(PeerState state, TrackedLink latest, List<TrackedLink> earlier, long now) {
		for (TrackedLink link : earlier) {
			TrackedLink loser = this.rivalry.loser(link, latest, now);
			closeAll(state, List.of(loser), now);
			if (loser == latest) {
				return;
			}
		}
	}

	private boolean smaller(VmId other) {
		return BY_NAME.compare(this.self, other) < 0;
	}

	private boolean sendOnDemand(VmId to, byte[] payload, long now) {
		if (to.equals(this.self) || this.directory.address(to).isEmpty()) {
			return false;
		}
		PeerState state = this.states.computeIfAbsent(to, (key) -> new PeerState(key, now));
		boolean room = state.pendingBytes() + payload.length <= this.mostPendingBytes;
		boolean hopeful = state.failures() == 0 || state.mayDial(now);
		if (!room || !hopeful) {
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
		if (replacing ? allSilent(state, now) : (state.hasPending() || (desired && ourTurn(state, now)))) {
			this.directory.address(state.vm()).ifPresent((address) -> {
				state.dialStarted();
				this.dialler.dial(state.vm(), address, replacing);
			});
		}
	}

	private boolean ourTurn(PeerState state, long now) {
		return smaller(state.vm()) || now - state.withoutLinkSince() >= this.times.dialGrace().toNanos();
	}

	private boolean allSilent(PeerState state, long now) {
		boolean allSilent = !state.heardSince(silentBefore(now));
		if (allSilent) {
			state.links().stream().filter(TrackedLink::reportSilent).forEach((link) -> this.counters.silent());
		}
		return allSilent;
	}

	private void closeUseless(PeerState state, boolean desired, long now) {
		long deadBefore = now - this.times.giveUp().toNanos();
		long idleBefore = now - this.times.idle().toNanos();
		closeAll(state, state.useless(deadBefore, idleBefore, desired), now);
	}

	private void closeAll(PeerState state, List<TrackedLink> links, long now) {
		for (TrackedLink link : links) {
			state.remove(link.link(), now);
			link.link().close();
		}
	}

	private void expirePending(PeerState state, long now) {
		if (state.hasPending() && now - state.pendingSince() > this.times.pending().toNanos()) {
			this.counters.lostPending(state.drainPending().size());
		}
	}

	private void forgetIfUnused(PeerState state, boolean desired, long now) {
		boolean inUse = desired || !state.links().isEmpty() || state.hasPending() || state.dialling();
		boolean backoffMatters = state.failures() > 0
				&& now - state.nextDialAt() < this.times.longestBackoff().toNanos();
		if (!inUse && !backoffMatters) {
			this.states.remove(state.vm());
		}
	}

	private long silentBefore(long now) {
		return now - this.times.silence().toNanos();
	}

}
