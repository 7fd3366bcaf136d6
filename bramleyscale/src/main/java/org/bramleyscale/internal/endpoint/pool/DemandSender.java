package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.Demand;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Sends demands, batched by owner: in their period, and at once where work waits.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class DemandSender {

	/** Demands for one endpoint are never closer together than this. */
	private static final Duration PAUSE = Duration.ofMillis(20);

	private final Scheduler scheduler;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final Function<EndpointState, Optional<VmId>> owners;

	private final Counter sent;

	private final Set<EndpointState> urgent = new LinkedHashSet<>();

	private boolean flushing;

	private int periodMillis;

	DemandSender(Scheduler scheduler, PeerNetwork peers, EndpointSettings settings,
			Function<EndpointState, Optional<VmId>> owners, Counter sent) {
		this.scheduler = scheduler;
		this.peers = peers;
		this.settings = settings;
		this.owners = owners;
		this.sent = sent;
		this.periodMillis = settings.periodMillis(0);
	}

	int periodMillis() {
		return this.periodMillis;
	}

	void pairs(int active) {
		this.periodMillis = this.settings.periodMillis(active);
	}

	/**
	 * Sends a demand for an endpoint in the same turn, or after the shortest pause.
	 * @param state the endpoint
	 */
	void soon(EndpointState state) {
		this.urgent.add(state);
		if (!this.flushing) {
			this.flushing = true;
			long wait = PAUSE.toNanos() - (this.scheduler.nanos() - state.demandedAt());
			this.scheduler.schedule(Duration.ofNanos(Math.max(0, wait)), this::flush);
		}
	}

	/**
	 * Sends demands now.
	 * @param states the endpoints
	 */
	void send(List<EndpointState> states) {
		long now = this.scheduler.nanos();
		Map<VmId, List<DemandItem>> byOwner = new HashMap<>();
		for (EndpointState state : states) {
			Optional<VmId> owner = this.owners.apply(state);
			DemandItem item = state.demand(now);
			owner.ifPresent((vm) -> byOwner.computeIfAbsent(vm, (key) -> new ArrayList<>()).add(item));
		}
		byOwner.forEach((owner, items) -> send(owner, items, now));
	}

	private void send(VmId owner, List<DemandItem> items, long now) {
		if (this.peers.send(owner, new Demand(Math.floorDiv(now, 1_000_000L), this.periodMillis, items))) {
			this.sent.inc(items.size());
		}
	}

	private void flush() {
		this.flushing = false;
		List<EndpointState> due = new ArrayList<>();
		List<EndpointState> early = new ArrayList<>();
		long now = this.scheduler.nanos();
		for (EndpointState state : this.urgent) {
			boolean ready = now - state.demandedAt() >= PAUSE.toNanos();
			(ready ? due : early).add(state);
		}
		this.urgent.clear();
		send(due);
		early.forEach(this::soon);
	}

}
