package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Detects that this daemon has lost the path to all endpoints of a service.
 *
 * <p>
 * Only new connections count: streams may continue while new connections are refused. One
 * endpoint that can't be connected to says nothing about the path, so others are tried at
 * once; if none of them accepts, the path is lost. Whether the endpoints or the path are
 * at fault isn't decided here: {@link FleetReachability} compares daemons. A daemon that
 * callers use checks its paths also without traffic, so that no caller is the first to
 * notice. Confined to the scheduler's thread.
 */
public final class PathMonitor implements EndpointPaths, ConnectionObserver {

	/** The interval between checks of a path that is lost, unstable or unproven. */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	/** A path without an answer or connection for this long is checked. */
	static final Duration MAX_SILENCE = Duration.ofSeconds(1);

	/**
	 * A path without a new connection for this long is checked: answers on connections
	 * that exist don't show that new ones are accepted.
	 */
	static final Duration MAX_UNPROVEN = Duration.ofSeconds(3);

	/**
	 * A connection within this time proves a path that a peer, or another service of this
	 * daemon, has just lost.
	 */
	private static final Duration RECENT = Duration.ofMillis(300);

	/** The number of further endpoints that are tried before a path counts as lost. */
	private static final int MAX_VERIFIED = 3;

	/**
	 * The number of endpoints that one is compared with, to tell its crash from a lost
	 * path and from a loss of many: most of them may have crashed.
	 */
	private static final int MAX_COMPARED = 24;

	private final Scheduler scheduler;

	private final ConnectionCheck check;

	private final BackendTable backends;

	private final RandomGenerator random;

	private final DecisionLog log;

	private final Map<ServiceName, ServicePath> paths = new HashMap<>();

	/** The services of which one endpoint is being tried. */
	private final Set<ServiceName> checked = new HashSet<>();

	/** The services of which several endpoints are being tried after one has failed. */
	private final Set<ServiceName> verified = new HashSet<>();

	private BooleanSupplier used = () -> false;

	private Supplier<Duration> retryAfter = () -> CHECK_INTERVAL;

	private Listener listener = Listener.NONE;

	/**
	 * Creates a monitor; {@link #start} begins to check.
	 * @param scheduler the daemon's scheduler
	 * @param check tries to connect to endpoints
	 * @param backends the endpoints
	 * @param random chooses the endpoints that are tried
	 * @param log the decision log
	 */
	public PathMonitor(Scheduler scheduler, ConnectionCheck check, BackendTable backends, RandomGenerator random,
			DecisionLog log) {
		this.scheduler = scheduler;
		this.check = check;
		this.backends = backends;
		this.random = random;
		this.log = log;
	}

	/**
	 * Starts to check paths.
	 * @param daemonUsed whether callers are sent to this daemon
	 * @param callersRetryAfter when callers of a lost service should retry
	 * @param changes notified of changes
	 */
	public void start(BooleanSupplier daemonUsed, Supplier<Duration> callersRetryAfter, Listener changes) {
		this.used = daemonUsed;
		this.retryAfter = callersRetryAfter;
		this.listener = changes;
		this.scheduler.repeat(CHECK_INTERVAL, this::checkPaths);
	}

	@Override
	public boolean lost(ServiceName service) {
		ServicePath path = this.paths.get(service);
		return path != null && path.lost() && !this.backends.usable(service).isEmpty();
	}

	@Override
	public Duration retryAfter() {
		return this.retryAfter.get();
	}

	@Override
	public void answered(Backend endpoint) {
		path(endpoint.service()).answered(this.scheduler.nanos());
	}

	@Override
	public void connected(Backend endpoint) {
		ServiceName service = endpoint.service();
		if (path(service).connected(this.scheduler.nanos())) {
			this.log.belief("service", service, "path", "works again", "endpoint", endpoint.id());
			this.listener.reached(service);
		}
	}

	@Override
	public void connectFailed(Backend endpoint, long startedAt) {
		if (!path(endpoint.service()).connectedSince(startedAt)) {
			verify(endpoint.service(), endpoint);
		}
	}

	/**
	 * Called when a peer has lost paths; this daemon may have lost them too.
	 * @param services the services that the peer can't reach
	 */
	public void lostByPeer(Collection<ServiceName> services) {
		long recent = this.scheduler.nanos() - RECENT.toNanos();
		for (ServiceName service : services) {
			if (!path(service).connectedSince(recent)) {
				checkOne(service);
			}
		}
	}

	/**
	 * Tests whether this daemon reaches any endpoint of any service now.
	 * @param except an endpoint that isn't tried
	 * @param refusing called with each endpoint that refuses connections, also later
	 * @return completes on the scheduler's thread once an endpoint accepts, or all have
	 * been tried; with true also if there is no other endpoint
	 */
	CompletableFuture<Boolean> reachesAnyExcept(Backend except, Consumer<EndpointStart> refusing) {
		List<Backend> others = new ArrayList<>();
		this.backends.services().forEach((service) -> others.addAll(this.backends.usable(service)));
		others.remove(except);
		CompletableFuture<Boolean> reached = new CompletableFuture<>();
		List<CompletableFuture<Void>> tries = new ArrayList<>();
		while (tries.size() < MAX_COMPARED && !others.isEmpty()) {
			Backend other = others.remove(this.random.nextInt(others.size()));
			tries.add(this.check.connect(other).thenAccept((outcome) -> {
				if (outcome == ConnectionOutcome.ACCEPTED) {
					connected(other);
					reached.complete(true);
				}
				else if (outcome == ConnectionOutcome.REFUSED) {
					refusing.accept(other.start());
				}
			}));
		}
		CompletableFuture.allOf(tries.toArray(CompletableFuture[]::new))
			.thenRun(() -> reached.complete(tries.isEmpty()));
		return reached;
	}

	/**
	 * The services that callers can't reach through this daemon.
	 * @return the services whose path is lost, or has been until recently
	 */
	public Set<ServiceName> broken() {
		Set<ServiceName> broken = new LinkedHashSet<>();
		this.paths.forEach((service, path) -> {
			if (path.broken()) {
				broken.add(service);
			}
		});
		return broken;
	}

	private void checkPaths() {
		removeEndedServices();
		long now = this.scheduler.nanos();
		for (ServiceName service : this.backends.services()) {
			ServicePath path = path(service);
			if (path.stabilize(now)) {
				this.log.belief("service", service, "path", "stable");
				this.listener.changed(broken());
			}
			boolean overdue = !(path.connectedSince(now - MAX_UNPROVEN.toNanos())
					&& (path.connectedSince(now - MAX_SILENCE.toNanos())
							|| path.answeredSince(now - MAX_SILENCE.toNanos())));
			if (!path.proven() || (overdue && this.used.getAsBoolean())) {
				checkOne(service);
			}
		}
	}

	private void removeEndedServices() {
		if (this.paths.keySet().retainAll(this.backends.services())) {
			this.listener.changed(broken());
		}
	}

	private void checkOne(ServiceName service) {
		List<Backend> usable = this.backends.usable(service);
		if (usable.isEmpty() || !this.checked.add(service)) {
			return;
		}
		long startedAt = this.scheduler.nanos();
		Backend endpoint = usable.get(this.random.nextInt(usable.size()));
		this.check.connect(endpoint).thenAccept((outcome) -> {
			this.checked.remove(service);
			if (outcome == ConnectionOutcome.ACCEPTED) {
				connected(endpoint);
			}
			else {
				connectFailed(endpoint, startedAt);
			}
		});
	}

	/**
	 * Tries several endpoints of a service, one of which has just failed.
	 * @param service the service
	 * @param failed the endpoint that couldn't be connected to
	 */
	private void verify(ServiceName service, Backend failed) {
		ServicePath path = path(service);
		if (path.lost() || !this.verified.add(service)) {
			return;
		}
		long startedAt = this.scheduler.nanos();
		List<Backend> others = new ArrayList<>(this.backends.usable(service));
		others.remove(failed);
		tryAny(others).thenAccept((accepted) -> {
			this.verified.remove(service);
			if (!accepted && !path.connectedSince(startedAt) && !this.backends.usable(service).isEmpty()) {
				lose(service, path);
			}
		});
	}

	/**
	 * Tries to connect to a few of several endpoints.
	 * @param endpoints the endpoints
	 * @return completes with true if one of them accepts
	 */
	private CompletableFuture<Boolean> tryAny(List<Backend> endpoints) {
		List<CompletableFuture<Boolean>> outcomes = new ArrayList<>();
		List<Backend> remaining = new ArrayList<>(endpoints);
		while (outcomes.size() < MAX_VERIFIED && !remaining.isEmpty()) {
			Backend endpoint = remaining.remove(this.random.nextInt(remaining.size()));
			outcomes.add(this.check.connect(endpoint).thenApply((outcome) -> {
				if (outcome == ConnectionOutcome.ACCEPTED) {
					connected(endpoint);
				}
				return outcome == ConnectionOutcome.ACCEPTED;
			}));
		}
		return CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new))
			.thenApply((all) -> outcomes.stream().anyMatch(CompletableFuture::join));
	}

	private void lose(ServiceName service, ServicePath path) {
		path.lose();
		this.log.belief("service", service, "path", "lost", "endpoints", this.backends.usable(service).size());
		this.listener.changed(broken());
		long recent = this.scheduler.nanos() - RECENT.toNanos();
		for (ServiceName other : this.backends.services()) {
			if (!path(other).connectedSince(recent)) {
				checkOne(other);
			}
		}
	}

	private ServicePath path(ServiceName service) {
		return this.paths.computeIfAbsent(service, (key) -> new ServicePath());
	}

	/**
	 * Notified of changes of paths.
	 */
	public interface Listener {

		/** Ignores all changes. */
		Listener NONE = new Listener() {

			@Override
			public void changed(Set<ServiceName> broken) {
				// Ignored.
			}

			@Override
			public void reached(ServiceName service) {
				// Ignored.
			}

		};

		/**
		 * Called when the services that callers can't reach through this daemon change.
		 * @param broken the services
		 */
		void changed(Set<ServiceName> broken);

		/**
		 * Called when a service whose path was lost can be connected to again.
		 * @param service the service
		 */
		void reached(ServiceName service);

	}

}
