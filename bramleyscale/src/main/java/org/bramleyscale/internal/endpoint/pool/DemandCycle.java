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
 * Sends the periodic demands for each endpoint: often while it is in use, rarely while it
 * is idle.
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
		this.demands.updatePeriod(active, this.membership.members().size());
		List<EndpointState> dueStates = new ArrayList<>();
		for (EndpointState state : this.directory.all()) {
			if (due(state, contacts, now)) {
				dueStates.add(state);
			}
		}
		this.demands.send(dueStates);
	}

	private boolean due(EndpointState state, Set<EndpointEntry> contacts, long now) {
		long since = now - state.held().demandedAt();
		if (state.active(now)) {
			return since >= this.demands.periodMillis() * 1_000_000L - TICK.toNanos() / 2;
		}
		if (!state.idle()) {
			state.held().returnGrant();
			return true;
		}
		return contacts.contains(state.entry()) && since >= this.settings.idlePeriod().toNanos();
	}

}
