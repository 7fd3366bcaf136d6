package org.bramleyscale.internal.endpoint.pool;

import com.codahale.metrics.Counter;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.Grant;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Clock;

/**
 * Applies what owners send.
 *
 * <p>
 * Invariant: a grant's expiry is counted from the sending of the demand it answers, so it
 * ends here before it ends in the owner's account. Confined to the scheduler's thread.
 */
final class GrantReceiver {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Clock clock;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	private final Runnable room;

	private final Counter ignored;

	GrantReceiver(Clock clock, EndpointDirectory directory, DemandSender demands, Runnable room, Counter ignored) {
		this.clock = clock;
		this.directory = directory;
		this.demands = demands;
		this.room = room;
		this.ignored = ignored;
	}

	void listen(PeerNetwork peers) {
		peers.listen(Grant.class, this::granted);
		peers.listen(Redirect.class, this::redirected);
		peers.listen(OwnerAnnounced.class, this::announced);
	}

	private void granted(Incarnation from, Grant grant) {
		boolean more = false;
		for (GrantItem item : grant.items()) {
			EndpointState state = this.directory.find(item.endpoint()).orElse(null);
			if (state != null) {
				more |= apply(from, grant, item, state);
			}
		}
		if (more) {
			this.room.run();
		}
	}

	private boolean apply(Incarnation from, Grant grant, GrantItem item, EndpointState state) {
		long now = this.clock.nanos();
		long lifetime = grant.lifetimeMillis() * NANOS_PER_MILLI;
		long expiresAt = grant.demandSentMillis() * NANOS_PER_MILLI + lifetime;
		Amount before = state.share(now, this.directory.sharing());
		if (!state.apply(item, from.vm(), expiresAt, lifetime, now)) {
			this.ignored.inc();
			return false;
		}
		Amount after = state.share(now, this.directory.sharing());
		if (!before.within(after)) {
			// Another entry waits for what was taken back; it gets it once this entry has
			// confirmed the smaller grant.
			this.demands.soon(state);
		}
		return !after.within(before);
	}

	private void redirected(Incarnation from, Redirect redirect) {
		this.directory.find(redirect.endpoint())
			.filter((state) -> redirect.epoch() >= state.held().epoch())
			.ifPresent((state) -> {
				state.knownOwner(redirect.owner());
				this.demands.soon(state);
			});
	}

	private void announced(Incarnation from, OwnerAnnounced announcement) {
		Shard shard = Shard.of(announcement.dataCentre(), announcement.shard());
		for (EndpointState state : this.directory.all()) {
			if (state.shard().equals(shard) && announcement.epoch() > state.held().epoch()) {
				state.knownOwner(from.vm());
				this.demands.soon(state);
			}
		}
	}

}
