package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.reachability.PathMonitor;

/**
 * Connects the paths of one daemon with the parts that act on them.
 *
 * <p>
 * Confined to the scheduler's thread.
 *
 * @param paths detects that this daemon has lost a path
 * @param fleet tells it to the fleet, and knows what other daemons have told
 * @param backends the endpoints
 * @param health forgets what was learnt over a broken path
 * @param contention holds requests that can't be served without a path
 */
public record NodeReachability(PathMonitor paths, FleetReachability fleet, BackendTable backends, BackendHealth health,
		ContentionQueues contention) implements PathMonitor.Listener {

	/** Another daemon can be tried at once; with zero, no retry time would be sent. */
	private static final Duration OTHER_DAEMON_RETRY_AFTER = Duration.ofMillis(10);

	/**
	 * Starts to check paths.
	 * @param used whether callers are sent to this daemon
	 * @param daemons the number of daemons that may receive requests
	 * @param addressKeepFor how long callers keep an answer about addresses
	 */
	public void start(BooleanSupplier used, IntSupplier daemons, Duration addressKeepFor) {
		this.paths.start(used, () -> retryAfter(daemons.getAsInt(), addressKeepFor), this);
	}

	void register(MetricRegistry metrics) {
		metrics.gauge("gateway.services.unreachable", () -> () -> this.paths.broken().size());
		metrics.gauge("gateway.daemons.cut_off", () -> this.fleet::announcingCount);
	}

	@Override
	public void changed(Set<ServiceName> broken) {
		this.fleet.announce(broken);
		this.contention.capacityMayBeFree();
	}

	@Override
	public void reached(ServiceName service) {
		this.backends.usable(service).forEach((endpoint) -> this.health.reachedAgain(endpoint.start()));
	}

	/**
	 * When callers of a service that this daemon can't reach should retry. A caller that
	 * retries at once picks another of the addresses that it keeps; if most of these are
	 * cut off too, it does better with a new answer.
	 * @param daemons the number of daemons that may receive requests
	 * @param addressKeepFor how long callers keep an answer about addresses
	 * @return the time
	 */
	private Duration retryAfter(int daemons, Duration addressKeepFor) {
		return (2 * this.fleet.announcingCount() < daemons) ? OTHER_DAEMON_RETRY_AFTER : addressKeepFor;
	}

}
