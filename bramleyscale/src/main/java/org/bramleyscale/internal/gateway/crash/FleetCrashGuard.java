package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FollowedObject;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The guard of one daemon, which knows what all of them saw.
 *
 * <p>
 * Daemons tell each other of crashes at once. A request under which
 * {@link CrashLedger#ACCUSED} endpoints have ended gets a record in the platform's store,
 * which all daemons follow and which outlives them; from then on it is sent only as a
 * trial. A request that has run to an answer is cleared everywhere. Confined to the
 * scheduler's thread. <pre>
 * guard.fell(digest, endpoint);
 * if (guard.verdict(digest) == Verdict.DEADLY) { refuse(); }
 * </pre>
 */
public final class FleetCrashGuard implements CrashGuard, CrashEvidence.Listener {

	/** The kind of the store's objects that this guard follows. */
	public static final String KIND = CrashRecord.KIND;

	private static final Duration TIDY = Duration.ofSeconds(1);

	private final CrashLedger ledger;

	private final CrashEvidence evidence;

	private final CrashNews news;

	private final CrashRecords records;

	private final DecisionLog log;

	private final MetricRegistry metrics;

	/**
	 * Makes the guard.
	 * @param ports what it uses of the daemon
	 * @param check tries to connect to endpoints
	 * @param listed whether an endpoint is on the platform's list and doesn't drain
	 * @param tidies whether this daemon, of all, keeps the records in order
	 */
	public FleetCrashGuard(Ports ports, EndpointCheck check, Predicate<Backend> listed, BooleanSupplier tidies) {
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.ledger = new CrashLedger(ports.scheduler());
		this.evidence = new CrashEvidence(ports.scheduler(), check, listed, this);
		this.news = new CrashNews(ports.scheduler(), ports.network(), ports.routes(), this.ledger);
		this.records = new CrashRecords(ports.scheduler(), ports.store(), this.ledger, tidies, this.log);
		ports.scheduler().repeat(TIDY, this.records::writeMissing);
		this.metrics.gauge("gateway.crashes.suspects", () -> this.ledger::suspects);
		this.metrics.gauge("gateway.crashes.recorded", () -> () -> this.ledger.recordedRequests().size());
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		CrashNews.register(builder);
	}

	/**
	 * Takes a record's new copy, or its deletion.
	 * @param object the copy
	 */
	public void recordChanged(FollowedObject object) {
		this.records.changed(object);
	}

	/**
	 * Notes that an endpoint is off the platform's list, or has started again.
	 * @param endpoint the endpoint
	 */
	public void gone(EndpointStart endpoint) {
		this.evidence.gone(endpoint);
	}

	/**
	 * Forgets what is long past; called a few times a second.
	 */
	public void expire() {
		this.evidence.expire();
	}

	@Override
	public Verdict verdict(RequestDigest request) {
		Verdict verdict = this.ledger.verdict(request, this.evidence.unsettled(request));
		return (verdict == Verdict.TRIAL && this.records.rests(request)) ? Verdict.WAIT : verdict;
	}

	@Override
	public void claimTrial(RequestDigest request, Consumer<Boolean> granted) {
		this.records.claim(request, granted);
	}

	@Override
	public void fell(RequestDigest request, Backend endpoint) {
		this.evidence.fell(request, endpoint);
	}

	@Override
	public void survived(RequestDigest request) {
		int crashes = this.ledger.crashes(request);
		long version = this.ledger.record(request).map(CrashLedger.Recorded::version).orElse(0L);
		if (this.ledger.clear(request)) {
			this.log.belief("request", request, "cleared", true, "crashes", crashes);
			this.news.cleared(request);
			this.records.clear(request, version);
		}
	}

	@Override
	public void answered(EndpointStart endpoint, long sentAt) {
		this.evidence.answered(endpoint, sentAt);
	}

	@Override
	public void crashed(RequestDigest request, EndpointStart endpoint) {
		if (!this.ledger.crashed(request, endpoint)) {
			return;
		}
		this.metrics.counter("gateway.crashes.seen").inc();
		this.log.belief("request", request, "crashed", endpoint, "crashes", this.ledger.crashes(request));
		this.news.crashed(request);
		if (this.ledger.crashes(request) >= CrashLedger.ACCUSED) {
			this.records.accuse(request);
		}
	}

	@Override
	public void lives(EndpointStart endpoint) {
		if (this.ledger.lives(endpoint)) {
			this.log.belief("endpoint", endpoint, "ended", false);
			this.news.lives(endpoint);
		}
	}

	/**
	 * What the guard uses of the daemon.
	 *
	 * @param scheduler its thread and clock
	 * @param network to the peers
	 * @param routes who gets what is new
	 * @param store the platform's store
	 * @param log takes each decision
	 * @param metrics counts
	 */
	public record Ports(Scheduler scheduler, PeerNetwork network, NewsRoutes routes, ObjectStore store, DecisionLog log,
			MetricRegistry metrics) {
	}

}
