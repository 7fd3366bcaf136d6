package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.EndpointHealth;
import org.bramleyscale.internal.routing.SpeedEstimator;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One entry's view of the engines: grants, lagging reports, estimated speeds and health.
 */
final class FakePool {

	private final Scheduler scheduler;

	private final List<FakeEngine> engines;

	private final List<EndpointId> ids;

	private final FakeGrants grants;

	private final int entry;

	private final Contender contender;

	private final SpeedEstimator speeds = new SpeedEstimator();

	private final EndpointHealth health;

	private final MetricRegistry metrics = new MetricRegistry();

	private final LoadReport[] reports;

	private final long[] reportedAt;

	private final List<List<Send>> sends = new ArrayList<>();

	private final List<Integer> candidateEngines = new ArrayList<>();

	FakePool(Scheduler scheduler, List<FakeEngine> engines, FakeGrants grants, int entry, Contender contender) {
		this.scheduler = scheduler;
		this.engines = engines;
		this.ids = engines.stream().map(FakeEngine::id).toList();
		this.grants = grants;
		this.entry = entry;
		this.contender = contender;
		this.health = new EndpointHealth(scheduler, this.metrics);
		this.reports = new LoadReport[engines.size()];
		this.reportedAt = new long[engines.size()];
		engines.forEach((engine) -> this.sends.add(new ArrayList<>()));
	}

	void reported(int engine, LoadReport report, long at) {
		this.reports[engine] = report;
		this.reportedAt[engine] = at;
	}

	SpeedEstimator speeds() {
		return this.speeds;
	}

	long ejections() {
		return this.metrics.counter("routing.ejections").getCount();
	}

	List<Candidate> candidates() {
		List<EndpointId> usable = this.contender.uses(Mechanism.HEALTH) ? this.health.usable(this.ids) : this.ids;
		List<Candidate> candidates = new ArrayList<>(usable.size());
		this.candidateEngines.clear();
		for (int engine = 0; engine < this.ids.size(); engine++) {
			int next = candidates.size();
			if (next < usable.size() && usable.get(next).equals(this.ids.get(engine))) {
				candidates.add(candidate(engine));
				this.candidateEngines.add(engine);
			}
		}
		return candidates;
	}

	/**
	 * The engine of a candidate of the last list.
	 * @param candidate the candidate's index
	 * @return the engine's index
	 */
	int engine(int candidate) {
		return this.candidateEngines.get(candidate);
	}

	Send sent(int engine, int promptTokens, long predictedNanos) {
		Send send = new Send(engine, this.scheduler.nanos(), promptTokens, predictedNanos);
		this.sends.get(engine).add(send);
		return send;
	}

	void firstToken(Send send) {
		send.first = this.scheduler.nanos();
		if (send.predictedNanos > 0) {
			this.health.observe(this.ids.get(send.engine), new Observation(send.promptTokens,
					Duration.ofNanos(send.first - send.at), Duration.ofNanos(send.predictedNanos), 0, null, false));
		}
	}

	void finished(Send send, int computedTokens, int answerTokens) {
		ended(send);
		Duration predicted = (send.predictedNanos > 0) ? Duration.ofNanos(send.predictedNanos) : null;
		this.speeds.observe(this.ids.get(send.engine),
				new Observation(computedTokens, Duration.ofNanos(send.first - send.at), predicted, answerTokens,
						Duration.ofNanos(this.scheduler.nanos() - send.first), false));
	}

	void ended(Send send) {
		this.sends.get(send.engine).remove(send);
	}

	void checkOverdue() {
		for (List<Send> open : this.sends) {
			for (Send send : open) {
				long waited = this.scheduler.nanos() - send.at;
				if (send.first == 0 && send.predictedNanos > 0 && waited > send.predictedNanos) {
					this.health.observeOverdue(this.ids.get(send.engine), Duration.ofNanos(waited),
							Duration.ofNanos(send.predictedNanos));
				}
			}
		}
	}

	private Candidate candidate(int engine) {
		EndpointId id = this.ids.get(engine);
		LoadReport report = this.reports[engine];
		boolean estimated = this.contender.uses(Mechanism.LEARNT_SPEED);
		double speed = estimated ? this.speeds.prefillTokensPerSecond(id) : 0;
		double step = estimated ? this.speeds.stepSeconds(id) : 0;
		boolean healthy = !this.contender.uses(Mechanism.HEALTH);
		double penalty = healthy ? 0 : this.health.penaltySeconds(id);
		boolean readmitting = !healthy && this.health.readmitting(id);
		int slots = this.grants.slotsLeft(engine, this.entry);
		long kv = this.grants.kvLeft(engine, this.entry);
		long own = this.contender.uses(Mechanism.OWN_WORK) ? ownPrefill(engine) : 0;
		int inFlight = this.sends.get(engine).size();
		if (report == null) {
			return new Candidate(id, -1, 0, 0, 0, 0, 0, 0, own, inFlight, slots, kv, speed, step, penalty, readmitting);
		}
		return new Candidate(id, this.scheduler.nanos() - this.reportedAt[engine], report.running(), report.waiting(),
				report.slots(), report.queuedPrefillTokens(), report.kvUsed(), report.kvCapacity(), own, inFlight,
				slots, kv, speed, step, penalty, readmitting);
	}

	private long ownPrefill(int engine) {
		long tokens = 0;
		for (Send send : this.sends.get(engine)) {
			boolean covered = this.reports[engine] != null && send.at <= this.reportedAt[engine];
			if (send.first == 0 && !covered) {
				tokens += send.promptTokens;
			}
		}
		return tokens;
	}

	/**
	 * One attempt at an engine.
	 */
	static final class Send {

		private final int engine;

		private final long at;

		private final int promptTokens;

		private final long predictedNanos;

		private long first;

		private Send(int engine, long at, int promptTokens, long predictedNanos) {
			this.engine = engine;
			this.at = at;
			this.promptTokens = promptTokens;
			this.predictedNanos = predictedNanos;
		}

		int engine() {
			return this.engine;
		}

	}

}
