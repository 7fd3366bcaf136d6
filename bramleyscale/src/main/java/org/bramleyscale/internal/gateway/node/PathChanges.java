package org.bramleyscale.internal.gateway.node;

import java.util.Set;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.reachability.PathMonitor;

/**
 * Tells the fleet which services this daemon can't reach, and the parts of the daemon
 * that have to act on it.
 *
 * <p>
 * Confined to the scheduler's thread.
 *
 * @param reachability announces it to the fleet
 * @param backends the endpoints
 * @param health forgets what was learnt over a broken path
 * @param contention holds requests that can't be served now
 */
public record PathChanges(FleetReachability reachability, BackendTable backends, BackendHealth health,
		ContentionQueues contention) implements PathMonitor.Listener {

	@Override
	public void changed(Set<ServiceName> broken) {
		this.reachability.announce(broken);
		this.contention.capacityMayBeFree();
	}

	@Override
	public void reached(ServiceName service) {
		this.backends.usable(service).forEach((endpoint) -> this.health.reachedAgain(endpoint.start()));
	}

}
