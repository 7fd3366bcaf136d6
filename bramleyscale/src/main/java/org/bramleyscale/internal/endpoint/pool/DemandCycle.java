package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.Clock;

/**
 * Sends each endpoint's demand when its turn has come: often while it is in use, seldom
 * while it is idle.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class DemandCycle {

	/** How often the cycle runs. */
	static final Duration TICK = Duration.ofMillis(250);

	private final Clock clock;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	private final MembershipView membership;

	private final EndpointSettings settings;

	DemandCycle(Clock clock, EndpointDirectory directory, DemandSender demands, MembershipView membership,
			EndpointSettings settings) {
		this.clock = clock;
		this.directory = directory;
		this.demands = demands;
		this.membership = membership;
		this.settings = settings;
	}

	void run() {
		long now = this.clock.nanos();
		Set<EndpointEntry> contacts = this.directory.contacts();
		int active = (int) this.directory.all().stream().filter((state) -> state.active(now)).count();
		this.demands.pairs(active, this.membership.members().size());
		List<EndpointState> due = new ArrayList<>();
		for (EndpointState state : this.directory.all()) {
			if (due(state, contacts, now)) {
				due.add(state);
			}
		}
		this.demands.send(due);
	}

	private boolean due(EndpointState state, Set<EndpointEntry> contacts, long now) {
		long since = now - state.held().demandedAt();
		if (state.active(now)) {
			return since >= this.demands.periodMillis() * 1_000_000L - TICK.toNanos() / 2;
		}
		if (!state.resigned()) {
			state.held().resign();
			return true;
		}
		return contacts.contains(state.entry()) && since >= this.settings.idlePeriod().toNanos();
	}

}
