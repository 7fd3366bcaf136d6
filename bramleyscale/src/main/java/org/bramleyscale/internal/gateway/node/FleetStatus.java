package org.bramleyscale.internal.gateway.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.EndpointStatus;

/**
 * Converts this daemon's state of daemons and endpoints to the records of the status.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class FleetStatus {

	private final MembershipService membership;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadTracker loads;

	private final CatalogHolder catalogs;

	private final Predicate<Backend> evacuated;

	FleetStatus(MembershipService membership, BackendTable backends, BackendHealth health, LoadTracker loads,
			CatalogHolder catalogs, Predicate<Backend> evacuated) {
		this.membership = membership;
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.catalogs = catalogs;
		this.evacuated = evacuated;
	}

	List<DaemonStatus> daemons() {
		return this.membership.members().stream().map(this::daemon).toList();
	}

	List<EndpointStatus> endpoints() {
		return this.backends.all().stream().map(this::endpoint).toList();
	}

	private DaemonStatus daemon(Member member) {
		return new DaemonStatus(member.vm(), member.dataCentre(), member.httpAddress(), member.state(),
				this.membership.history().unresponsiveFor(member.vm()).toMillis(), 0, Optional.empty());
	}

	private EndpointStatus endpoint(Backend backend) {
		EndpointLoad load = this.loads.load(backend.start());
		long capacity = this.catalogs.current()
			.flatMap((catalog) -> catalog.service(backend.service()))
			.flatMap(Service::engine)
			.map(EngineProfile::memoryTokens)
			.orElse(0L);
		return new EndpointStatus(backend.id(), backend.service(), backend.dataCentre(), state(backend), load.active(),
				0, load.tokens(), capacity, 0);
	}

	private EndpointStatus.State state(Backend backend) {
		if (backend.draining()) {
			return EndpointStatus.State.LEAVING;
		}
		if (this.evacuated.test(backend)) {
			return EndpointStatus.State.EVACUATED;
		}
		return this.health.avoid(backend.start()) ? EndpointStatus.State.EJECTED : EndpointStatus.State.USABLE;
	}

}
