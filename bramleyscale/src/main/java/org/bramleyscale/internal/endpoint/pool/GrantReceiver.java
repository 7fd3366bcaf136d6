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
 * Applies grants, redirects and ownership announcements.
 *
 * <p>
 * Invariant: a grant's lifetime is counted from when the demand that it answers was sent,
 * so it expires here before it expires in the owner's account. Confined to the
 * scheduler's thread.
 */
final class GrantReceiver {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Clock clock;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	private final Runnable onCapacityAvailable;

	private final Counter ignored;

	GrantReceiver(Clock clock, EndpointDirectory directory, DemandSender demands, Runnable onCapacityAvailable,
			Counter ignored) {
		this.clock = clock;
		this.directory = directory;
		this.demands = demands;
		this.onCapacityAvailable = onCapacityAvailable;
		this.ignored = ignored;
	}

	void listen(PeerNetwork peers) {
		peers.listen(Grant.class, this::granted);
		peers.listen(Redirect.class, this::redirected);
		peers.listen(OwnerAnnounced.class, this::announced);
	}

	private void granted(Incarnation from, Grant grant) {
		boolean grown = false;
		for (GrantItem item : grant.items()) {
			EndpointState state = this.directory.find(item.endpoint()).orElse(null);
			if (state != null) {
				grown |= apply(from, grant, item, state);
			}
		}
		if (grown) {
			this.onCapacityAvailable.run();
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
			// Another entry waits for the revoked part and receives it once this entry
			// has acknowledged the smaller grant.
			this.demands.sendSoon(state);
		}
		return !after.within(before);
	}

	private void redirected(Incarnation from, Redirect redirect) {
		this.directory.find(redirect.endpoint())
			.filter((state) -> redirect.epoch() >= state.held().epoch())
			.ifPresent((state) -> {
				state.knownOwner(redirect.owner());
				this.demands.sendSoon(state);
			});
	}

	private void announced(Incarnation from, OwnerAnnounced announcement) {
		Shard shard = Shard.of(announcement.dataCentre(), announcement.shard());
		for (EndpointState state : this.directory.all()) {
			if (state.shard().equals(shard) && announcement.epoch() > state.held().epoch()) {
				state.knownOwner(from.vm());
				this.demands.sendSoon(state);
			}
		}
	}

}
