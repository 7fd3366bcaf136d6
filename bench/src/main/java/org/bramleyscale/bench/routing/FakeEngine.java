package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A model engine reduced to its timing: continuous batching, chunked prefill, priorities,
 * bounded KV memory and a prefix cache in the memory that is free.
 *
 * <p>
 * Invariant: the jobs at work never hold more KV memory than there is. Confined to the
 * scheduler's thread.
 */
final class FakeEngine {

	private static final Comparator<EngineJob> ORDER = Comparator.comparingInt(EngineJob::priority)
		.reversed()
		.thenComparingLong(EngineJob::sequence);

	private final Scheduler scheduler;

	private final EndpointId id;

	private final EngineProfile profile;

	private final PriorityQueue<EngineJob> waiting = new PriorityQueue<>(ORDER);

	private final List<EngineJob> prefilling = new ArrayList<>();

	private final List<EngineJob> decoding = new ArrayList<>();

	private final Map<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedTokens;

	private long kvUsed;

	private long accepted;

	private long reports;

	private double slowdown = 1;

	private boolean stepping;

	private double computingSeconds;

	FakeEngine(Scheduler scheduler, EndpointId id, EngineProfile profile) {
		this.scheduler = scheduler;
		this.id = id;
		this.profile = profile;
	}

	EndpointId id() {
		return this.id;
	}

	EngineProfile profile() {
		return this.profile;
	}

	/**
	 * Slows the engine down without a trace in its reports.
	 * @param factor the factor
	 */
	void slowDown(double factor) {
		this.slowdown = factor;
	}

	double computingSeconds() {
		return this.computingSeconds;
	}

	void submit(EngineJob job) {
		job.accepted(this.accepted++);
		this.waiting.add(job);
		if (!this.stepping) {
			step();
		}
	}

	void cancel(EngineJob job) {
		if (!job.gone()) {
			job.leave();
			if (!this.waiting.remove(job)) {
				this.kvUsed -= job.kvTokens();
				this.prefilling.remove(job);
				this.decoding.remove(job);
			}
		}
	}

	LoadReport report() {
		long queued = 0;
		for (EngineJob job : this.waiting) {
			queued += job.prefillLeft();
		}
		for (EngineJob job : this.prefilling) {
			queued += job.prefillLeft();
		}
		return new LoadReport(this.id, 1, this.reports++, this.prefilling.size() + this.decoding.size(),
				this.waiting.size(), this.profile.slots(), queued, this.kvUsed, this.profile.kvCapacity(), false,
				List.of());
	}

	private void step() {
		begin();
		int decodes = this.decoding.size();
		if (this.prefilling.isEmpty() && decodes == 0) {
			this.stepping = false;
			return;
		}
		this.stepping = true;
		List<EngineJob> computed = new ArrayList<>(this.prefilling);
		if (this.profile.stepPriorities()) {
			computed.sort(ORDER);
		}
		int[] shares = new int[computed.size()];
		int left = this.profile.chunkTokens();
		for (int i = 0; i < shares.length; i++) {
			shares[i] = Math.min(left, computed.get(i).prefillLeft());
			left -= shares[i];
		}
		double seconds = this.profile.stepSeconds() + decodes * this.profile.tokenSeconds()
				+ (this.profile.chunkTokens() - left) / this.profile.prefillTokensPerSecond();
		this.computingSeconds += (left < this.profile.chunkTokens()) ? seconds : 0;
		List<EngineJob> decoded = new ArrayList<>(this.decoding);
		this.scheduler.schedule(Duration.ofNanos((long) (seconds * this.slowdown * 1e9)),
				() -> stepped(computed, shares, decoded));
	}

	private void stepped(List<EngineJob> computed, int[] shares, List<EngineJob> decoded) {
		for (EngineJob job : decoded) {
			generate(job);
		}
		for (int i = 0; i < shares.length; i++) {
			EngineJob job = computed.get(i);
			if (job.gone() || shares[i] == 0) {
				continue;
			}
			job.compute(shares[i]);
			if (job.prefillLeft() == 0) {
				this.prefilling.remove(job);
				this.decoding.add(job);
				remember(job);
				generate(job);
			}
		}
		step();
	}

	private void generate(EngineJob job) {
		if (!job.gone() && job.generate()) {
			this.decoding.remove(job);
			this.kvUsed -= job.kvTokens();
		}
	}

	private void begin() {
		while (!this.waiting.isEmpty() && this.prefilling.size() + this.decoding.size() < this.profile.slots()) {
			EngineJob next = this.waiting.peek();
			if (this.kvUsed + next.kvTokens() > this.profile.kvCapacity()) {
				return;
			}
			this.waiting.remove();
			this.kvUsed += next.kvTokens();
			next.begin((next.prefix() != 0) ? this.cache.getOrDefault(next.prefix(), 0) : 0);
			this.prefilling.add(next);
			evict();
		}
	}

	private void remember(EngineJob job) {
		if (job.prefix() != 0) {
			Integer before = this.cache.put(job.prefix(), job.prefixTokens());
			this.cachedTokens += job.prefixTokens() - ((before != null) ? before : 0);
			evict();
		}
	}

	private void evict() {
		Iterator<Integer> oldest = this.cache.values().iterator();
		while (this.cachedTokens + this.kvUsed > this.profile.kvCapacity() && oldest.hasNext()) {
			this.cachedTokens -= oldest.next();
			oldest.remove();
		}
	}

}
