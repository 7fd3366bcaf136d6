package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Which daemons that should be heard fell silent.
 *
 * <p>
 * A frozen daemon, and one that is cut off or without power, keeps its connections; they
 * show it after seconds, and callers that are sent there meanwhile wait a second each.
 * Its missing tellings show it sooner. Invariant: a daemon that never told anything isn't
 * silent. Confined to the scheduler's thread.
 */
final class PeerSilence {

	/** A daemon tells three times in this, whether anything has changed or not. */
	static final Duration UNHEARD = LoadExchange.PAUSE.multipliedBy(3).plus(LoadExchange.GATHER);

	/** A pause of this process that is longer than two of its own tellings' pauses. */
	private static final Duration OWN_PAUSE = LoadExchange.PAUSE.multipliedBy(2);

	private final Clock clock;

	private final Map<VmId, Long> lastHeard = new HashMap<>();

	private Set<VmId> silentForRelay = Set.of();

	private long relayAt;

	private long ranAt;

	PeerSilence(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that a daemon told something.
	 * @param vm its VM
	 */
	void heard(VmId vm) {
		this.lastHeard.put(vm, this.clock.nanos());
	}

	/**
	 * Takes a relay's word for daemons that don't tell this one.
	 * @param silent those that the relay should hear and doesn't
	 */
	void relaySays(Set<VmId> silent) {
		this.silentForRelay = silent;
		this.relayAt = this.clock.nanos();
	}

	/**
	 * Whether a daemon fell silent, for this one or for a relay.
	 * @param vm its VM
	 * @return true if it told something and then nothing for {@link #UNHEARD}
	 */
	boolean silent(VmId vm) {
		long since = this.clock.nanos() - UNHEARD.toNanos();
		Long last = this.lastHeard.get(vm);
		boolean relaySaysSo = this.relayAt > since && this.silentForRelay.contains(vm);
		return relaySaysSo || (last != null && last < since);
	}

	/**
	 * Takes a pause of this process for what it is: what peers told meanwhile hasn't been
	 * read yet, and a daemon that took them all for silent would name only itself to
	 * callers. To be called at least each {@link LoadExchange#PAUSE}.
	 */
	void forgiveOwnPause() {
		long now = this.clock.nanos();
		if (now - this.ranAt > OWN_PAUSE.toNanos()) {
			this.lastHeard.replaceAll((vm, last) -> now);
		}
		this.ranAt = now;
	}

	/**
	 * Forgets all but some daemons: the others don't tell this one any more because
	 * relays changed, not because they are silent.
	 * @param expected those that still tell this one
	 */
	void expectOnly(Collection<VmId> expected) {
		this.lastHeard.keySet().retainAll(new HashSet<>(expected));
	}

}
