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
 * Sends demands, batched by owner: periodically, and without delay where requests wait.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class DemandSender {

	private final Scheduler scheduler;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final Function<EndpointState, Optional<VmId>> owners;

	private final Counter sent;

	private final Set<EndpointState> urgent = new LinkedHashSet<>();

	private boolean flushing;

	private long flushAt;

	private int periodMillis;

	DemandSender(Scheduler scheduler, PeerNetwork peers, EndpointSettings settings,
			Function<EndpointState, Optional<VmId>> owners, Counter sent) {
		this.scheduler = scheduler;
		this.peers = peers;
		this.settings = settings;
		this.owners = owners;
		this.sent = sent;
		this.periodMillis = (int) settings.demandPeriod().toMillis();
	}

	int periodMillis() {
		return this.periodMillis;
	}

	void updatePeriod(int active, int members) {
		this.periodMillis = this.settings.periodMillis(active, members);
	}

	/**
	 * Sends a demand for an endpoint in a scheduled flush: without delay, or later if
	 * such demands have recently been frequent.
	 * @param state the endpoint
	 */
	void sendSoon(EndpointState state) {
		if (this.urgent.add(state)) {
			flushWithin(state.urgentDemands().waitNanos(this.scheduler.nanos()));
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

	private void flushWithin(long nanos) {
		long at = this.scheduler.nanos() + Math.max(0, nanos);
		if (!this.flushing || at - this.flushAt < 0) {
			this.flushing = true;
			this.flushAt = at;
			this.scheduler.schedule(Duration.ofNanos(Math.max(0, nanos)), () -> flush(at));
		}
	}

	private void flush(long at) {
		if (!this.flushing || at != this.flushAt) {
			return;
		}
		this.flushing = false;
		long now = this.scheduler.nanos();
		List<EndpointState> due = new ArrayList<>();
		List<EndpointState> deferred = new ArrayList<>();
		for (EndpointState state : this.urgent) {
			boolean sendable = state.urgentDemands().waitNanos(now) <= 0;
			(sendable ? due : deferred).add(state);
		}
		due.forEach((state) -> state.urgentDemands().recordSend(now, this.periodMillis * 1_000_000L));
		this.urgent.removeAll(Set.copyOf(due));
		send(due);
		deferred.forEach((state) -> flushWithin(state.urgentDemands().waitNanos(now)));
	}

}
