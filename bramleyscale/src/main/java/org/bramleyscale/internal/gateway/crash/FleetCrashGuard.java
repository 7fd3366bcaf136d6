package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Clock;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A {@link CrashGuard} that shares crash reports between all daemons of the fleet.
 *
 * <p>
 * Daemons report crashes to each other at once, with all that the requests in flight may
 * have had in common. A cause that {@link CrashJudge#TRIAL_THRESHOLD} endpoints have
 * crashed under without an answer gets a record in the platform's store, which all
 * daemons watch and which survives their restarts; from then on it is sent only as a
 * trial. A request that has run to completion clears its causes on all daemons; a daemon
 * that has had an answer with a part shortly before the crash says so as well. An
 * endpoint that answers any daemon after its crash was reported has not crashed: the
 * daemon that reported it had lost its path. Confined to the scheduler's thread. <pre>
 * guard.connectionLost(causes, endpoint);
 * if (guard.verdict(causes) == Verdict.BLOCKED) { refuse(); }
 * </pre>
 */
public final class FleetCrashGuard implements CrashGuard, CrashDetector.Listener, CrashExchange.Listener {

	/** The kind of the store's objects that this guard watches. */
	public static final String KIND = CrashRecord.KIND;

	private static final Duration MAINTENANCE_PERIOD = Duration.ofSeconds(1);

	/** One crash suspects nothing yet, and an answer mostly follows it soon. */
	private static final int MIN_CRASHES_TO_VOUCH = 2;

	private final Clock clock;

	private final CrashEvidence evidence;

	private final StoredRecords stored;

	private final CrashJudge judge;

	private final AnsweredParts answeredParts;

	private final ClosedResponses closedResponses;

	private final CrashDetector detector;

	private final CrashExchange exchange;

	private final CrashRecords records;

	private final HeldTrials trials;

	private final RecentRequests recentRequests;

	private final DecisionLog log;

	private final MetricRegistry metrics;

	/**
	 * Creates the guard and starts the exchange with peers.
	 * @param ports the daemon's services that the guard uses
	 * @param check tests whether an endpoint refuses connections
	 * @param peerCheck asks peers whether it refuses theirs as well
	 * @param listed whether an endpoint is on the platform's list and isn't draining
	 * @param maintainsRecords whether this daemon is the one that maintains the records
	 */
	public FleetCrashGuard(Ports ports, EndpointCheck check, PeerCheck peerCheck, Predicate<Backend> listed,
			BooleanSupplier maintainsRecords) {
		this.clock = ports.scheduler();
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.stored = new StoredRecords(ports.scheduler(), ports.holders());
		this.evidence = new CrashEvidence(ports.scheduler(), this.stored);
		this.judge = new CrashJudge(this.evidence, this.stored);
		this.trials = new HeldTrials(ports.scheduler());
		this.recentRequests = new RecentRequests(ports.scheduler());
		this.answeredParts = new AnsweredParts(ports.scheduler());
		this.closedResponses = new ClosedResponses(ports.scheduler());
		this.detector = new CrashDetector(ports.scheduler(), check, peerCheck, listed, this);
		this.exchange = new CrashExchange(ports.scheduler(), ports.network(), ports.routes(), this.evidence,
				this.stored, this);
		this.records = new CrashRecords(ports.scheduler(), ports.store(), this.stored, this.evidence, this.judge,
				maintainsRecords, this.log);
		ports.scheduler().repeat(MAINTENANCE_PERIOD, this.records::writeMissing);
		this.metrics.gauge("gateway.crashes.suspects", () -> this.evidence::suspectCount);
		this.metrics.gauge("gateway.crashes.recorded", () -> () -> this.stored.causes().size());
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
		this.evidence.moments().lost(endpoint, this.clock.nanos());
	}

	/**
	 * Removes expired failures and crashes; called a few times a second.
	 */
	public void expire() {
		this.detector.expire();
		this.evidence.expire();
		this.closedResponses.expire();
	}

	@Override
	public Verdict verdict(CrashCauses causes) {
		this.recentRequests.judged(causes);
		if (this.evidence.suspectCount() == 0 && this.stored.causes().isEmpty() && !this.detector.checksPending()) {
			return Verdict.CLEAR;
		}
		Verdict verdict = this.judge.verdict(causes, this::pendingChecks);
		return (verdict == Verdict.TRIAL && !mayTry(causes)) ? Verdict.WAIT : verdict;
	}

	private boolean mayTry(CrashCauses causes) {
		List<CrashCause> suspects = this.judge.withVerdict(causes, Verdict.TRIAL);
		return suspects.stream().noneMatch(this.records::writeBlocked) && !this.recentRequests.givesWay(causes,
				suspects, (other) -> this.judge.withVerdict(other, Verdict.TRIAL));
	}

	/**
	 * Counts the checks that may turn out against a cause. Lost connections alone don't
	 * stall a part that was answered lately: popular parts are in flight everywhere.
	 * @param cause the cause
	 * @return the number of endpoints
	 */
	private int pendingChecks(CrashCause cause) {
		return this.answeredParts.answeredLately(cause) ? 0 : this.detector.pendingChecks(cause);
	}

	@Override
	public void claimTrial(CrashCauses causes, Consumer<Boolean> granted) {
		List<CrashCause> suspects = this.judge.withVerdict(causes, Verdict.TRIAL);
		claimTrials(suspects, 0, granted);
	}

	private void claimTrials(List<CrashCause> suspects, int next, Consumer<Boolean> granted) {
		CrashCause cause = suspects.get(next);
		Set<String> others = suspects.stream()
			.filter((other) -> !other.equals(cause))
			.map(CrashCause::value)
			.collect(Collectors.toSet());
		CrashRecord before = this.records.known(cause);
		this.records.claimTrial(cause, others, (claimed) -> {
			if (claimed) {
				this.trials.claimed(cause, before);
			}
			if (!claimed || next + 1 == suspects.size()) {
				granted.accept(claimed);
				return;
			}
			claimTrials(suspects, next + 1, (rest) -> {
				if (!rest) {
					returnTrial(cause);
				}
				granted.accept(rest);
			});
		});
	}

	private void returnTrial(CrashCause cause) {
		this.trials.remove(cause).ifPresent((before) -> this.records.returnTrial(cause, before));
	}

	@Override
	public void trialFailed(CrashCauses causes, Backend endpoint) {
		causes.all().forEach((cause) -> this.trials.lostAt(cause, endpoint.start()));
	}

	@Override
	public void trialLost(CrashCauses causes) {
		causes.all().forEach(this::loseTrial);
	}

	private void loseTrial(CrashCause cause) {
		this.trials.remove(cause).ifPresent((before) -> this.records.loseTrial(cause));
	}

	@Override
	public void trialNotMade(CrashCauses causes) {
		causes.all().forEach(this::returnTrial);
	}

	@Override
	public void connectionLost(CrashCauses causes, Backend endpoint) {
		this.detector.connectionLost(causes, endpoint);
		unreachable(endpoint);
	}

	@Override
	public void unreachable(Backend endpoint) {
		this.closedResponses.doubt(endpoint.start())
			.forEach((causes) -> this.detector.connectionLost(causes, endpoint));
	}

	@Override
	public void closed(CrashCauses causes, EndpointStart endpoint) {
		survived(causes);
		if (!causes.parts().isEmpty()) {
			this.closedResponses.add(causes, endpoint);
		}
	}

	@Override
	public void completed(CrashCauses causes) {
		causes.parts().forEach(this.answeredParts::answered);
		clear(causes.all());
	}

	@Override
	public void survived(CrashCauses causes) {
		clear(List.of(causes.request()));
	}

	@Override
	public CrashCause refused(CrashCauses causes) {
		this.metrics.counter("gateway.crashes.refused").inc();
		return this.judge.withVerdict(causes, Verdict.BLOCKED).stream().findFirst().orElse(causes.request());
	}

	@Override
	public void answered(EndpointStart endpoint, long sentAt) {
		this.detector.answered(endpoint, sentAt);
		this.evidence.moments().answered(endpoint, sentAt);
		this.closedResponses.confirm(endpoint, sentAt).forEach(this::completed);
		if (this.evidence.contradicted(endpoint, sentAt)) {
			foundAlive(endpoint);
		}
	}

	@Override
	public void crashed(Collection<CrashCause> causes, EndpointStart endpoint, long at) {
		List<CrashCause> added = causes.stream().filter((cause) -> this.evidence.crashed(cause, endpoint, at)).toList();
		if (!added.isEmpty()) {
			recordNewCrashes(added, endpoint);
		}
		causes.stream().filter((cause) -> this.trials.ranAt(cause, endpoint)).forEach((cause) -> {
			this.trials.remove(cause);
			this.records.endTrial(cause);
		});
	}

	@Override
	public void lost(EndpointStart endpoint, long at) {
		if (this.evidence.moments().lost(endpoint, at)) {
			this.exchange.lost(endpoint);
		}
	}

	private void recordNewCrashes(List<CrashCause> added, EndpointStart endpoint) {
		this.metrics.counter("gateway.crashes.seen").inc(added.stream().filter((cause) -> !cause.shared()).count());
		List<CrashCause> vouchedFor = added.stream().filter(this.answeredParts::vouch).toList();
		this.exchange.crashed(added, vouchedFor);
		vouchedFor.forEach(this::clearHere);
		for (CrashCause cause : added) {
			int crashes = this.judge.crashes(cause);
			if (crashes > 0 && cause.wider().isEmpty()) {
				this.log.belief(cause.kind(), cause, "crashed", endpoint, "crashes", crashes);
			}
			if (this.judge.suspected(cause) && !this.trials.ranAt(cause, endpoint)) {
				this.records.recordCrashes(cause);
			}
		}
	}

	/**
	 * Clears causes under which peers report crashes, and which were answered here.
	 * @param causes the causes
	 */
	@Override
	public void reported(Collection<CrashCause> causes) {
		clear(causes.stream()
			.filter((cause) -> this.judge.crashes(cause) >= MIN_CRASHES_TO_VOUCH && this.answeredParts.vouch(cause))
			.toList());
	}

	@Override
	public void foundAlive(EndpointStart endpoint) {
		this.trials.lostAt(endpoint).forEach(this::loseTrial);
		if (this.evidence.retractCrashes(endpoint)) {
			this.log.belief("endpoint", endpoint, "ended", false);
			this.exchange.retractCrashes(endpoint);
		}
	}

	@Override
	public void foundAliveByPeer(EndpointStart endpoint) {
		this.detector.foundAliveByPeer(endpoint);
	}

	private void clear(List<CrashCause> causes) {
		List<CrashCause> cleared = causes.stream().filter(this::clearHere).toList();
		if (!cleared.isEmpty()) {
			this.exchange.cleared(cleared);
		}
	}

	private boolean clearHere(CrashCause cause) {
		int crashes = this.judge.crashes(cause);
		long version = this.stored.get(cause).map(StoredRecords.StoredRecord::version).orElse(0L);
		this.trials.remove(cause);
		if (!this.evidence.clear(cause)) {
			return false;
		}
		if (version > 0 || cause.wider().isEmpty()) {
			this.log.belief(cause.kind(), cause, "cleared", true, "crashes", crashes);
		}
		this.records.clear(cause, version);
		return true;
	}

	/**
	 * The daemon's services that the guard uses.
	 *
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param store the platform's store
	 * @param holders knows which daemons may still make trials
	 * @param log the decision log
	 * @param metrics the metric registry
	 */
	public record Ports(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, ObjectStore store,
			TrialHolders holders, DecisionLog log, MetricRegistry metrics) {
	}

}
