package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A {@link CrashGuard} that shares crash reports between all daemons of the fleet.
 *
 * <p>
 * Daemons report crashes to each other at once. A request that
 * {@link CrashRegistry#TRIAL_THRESHOLD} endpoints have crashed under gets a record in the
 * platform's store, which all daemons watch and which survives their restarts; from then
 * on the request is sent only as a trial. A request that has run to completion is cleared
 * on all daemons. An endpoint that answers any daemon after its crash was reported has
 * not crashed: the daemon that reported it had lost its path. Confined to the scheduler's
 * thread. <pre>
 * guard.connectionLost(digest, endpoint);
 * if (guard.verdict(digest) == Verdict.BLOCKED) { refuse(); }
 * </pre>
 */
public final class FleetCrashGuard implements CrashGuard, CrashDetector.Listener {

	/** The kind of the store's objects that this guard watches. */
	public static final String KIND = CrashRecord.KIND;

	private static final Duration MAINTENANCE_PERIOD = Duration.ofSeconds(1);

	private final CrashRegistry registry;

	private final CrashDetector detector;

	private final CrashExchange exchange;

	private final CrashRecords records;

	private final DecisionLog log;

	private final MetricRegistry metrics;

	/**
	 * Creates the guard and starts the exchange with peers.
	 * @param ports the daemon's services that the guard uses
	 * @param check tests whether an endpoint refuses connections
	 * @param listed whether an endpoint is on the platform's list and isn't draining
	 * @param maintainsRecords whether this daemon is the one that maintains the records
	 */
	public FleetCrashGuard(Ports ports, EndpointCheck check, Predicate<Backend> listed,
			BooleanSupplier maintainsRecords) {
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.registry = new CrashRegistry(ports.scheduler());
		this.detector = new CrashDetector(ports.scheduler(), check, listed, this);
		this.exchange = new CrashExchange(ports.scheduler(), ports.network(), ports.routes(), this.registry,
				this.detector::foundAliveByPeer);
		this.records = new CrashRecords(ports.scheduler(), ports.store(), this.registry, maintainsRecords, this.log);
		ports.scheduler().repeat(MAINTENANCE_PERIOD, this.records::writeMissing);
		this.metrics.gauge("gateway.crashes.suspects", () -> this.registry::suspectCount);
		this.metrics.gauge("gateway.crashes.recorded", () -> () -> this.registry.recordedRequests().size());
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		CrashExchange.register(builder);
	}

	/**
	 * Applies a changed or deleted record.
	 * @param object the record's copy
	 */
	public void recordChanged(ObjectCopy object) {
		this.records.changed(object);
	}

	/**
	 * Records that an endpoint was removed from the platform's list or has restarted.
	 * @param endpoint the endpoint
	 */
	public void endpointRemoved(EndpointStart endpoint) {
		this.detector.removed(endpoint);
	}

	/**
	 * Removes expired failures and crashes; called a few times a second.
	 */
	public void expire() {
		this.detector.expire();
		this.registry.expire();
	}

	@Override
	public Verdict verdict(RequestDigest request) {
		Verdict verdict = this.registry.verdict(request, this.detector.pendingChecks(request));
		return (verdict == Verdict.TRIAL && this.records.writeBlocked(request)) ? Verdict.WAIT : verdict;
	}

	@Override
	public void claimTrial(RequestDigest request, Consumer<Boolean> granted) {
		this.records.claimTrial(request, granted);
	}

	@Override
	public void connectionLost(RequestDigest request, Backend endpoint) {
		this.detector.connectionLost(request, endpoint);
	}

	@Override
	public void completed(RequestDigest request) {
		int crashes = this.registry.crashes(request);
		long version = this.registry.record(request).map(CrashRegistry.StoredRecord::version).orElse(0L);
		if (this.registry.clear(request)) {
			this.log.belief("request", request, "cleared", true, "crashes", crashes);
			this.exchange.cleared(request);
			this.records.clear(request, version);
		}
	}

	@Override
	public void answered(EndpointStart endpoint, long sentAt) {
		this.detector.answered(endpoint, sentAt);
		if (this.registry.contradicted(endpoint, sentAt)) {
			foundAlive(endpoint);
		}
	}

	@Override
	public void crashed(RequestDigest request, EndpointStart endpoint) {
		if (!this.registry.crashed(request, endpoint)) {
			return;
		}
		this.metrics.counter("gateway.crashes.seen").inc();
		this.log.belief("request", request, "crashed", endpoint, "crashes", this.registry.crashes(request));
		this.exchange.crashed(request);
		if (this.registry.crashes(request) >= CrashRegistry.TRIAL_THRESHOLD) {
			this.records.recordCrashes(request);
		}
	}

	@Override
	public void foundAlive(EndpointStart endpoint) {
		if (this.registry.retractCrashes(endpoint)) {
			this.log.belief("endpoint", endpoint, "ended", false);
			this.exchange.retractCrashes(endpoint);
		}
	}

	/**
	 * The daemon's services that the guard uses.
	 *
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param store the platform's store
	 * @param log the decision log
	 * @param metrics the metric registry
	 */
	public record Ports(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, ObjectStore store,
			DecisionLog log, MetricRegistry metrics) {
	}

}
