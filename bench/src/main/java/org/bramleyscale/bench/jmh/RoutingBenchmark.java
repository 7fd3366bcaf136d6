package org.bramleyscale.bench.jmh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.PredictivePolicy;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingRequest;
import org.bramleyscale.internal.time.ManualScheduler;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The time of one routing decision by the number of candidates.
 *
 * <p>
 * Used by one thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {

	private static final int REQUESTS = 1024;

	private static final long MICROS_BETWEEN = 30_000;

	/** The number of candidates. */
	@Param({ "5", "20", "50", "200" })
	public int candidates;

	private final ManualScheduler clock = new ManualScheduler();

	private final SplittableRandom random = new SplittableRandom(1);

	private final List<RoutingRequest> requests = new ArrayList<>();

	private List<Candidate> choices;

	private PredictivePolicy policy;

	private int next;

	/**
	 * Makes candidates of unlike load and requests of unlike lengths.
	 */
	@Setup
	public void prepare() {
		this.policy = PredictivePolicy.builder(this.clock).build();
		this.choices = new ArrayList<>();
		for (int i = 0; i < this.candidates; i++) {
			this.choices.add(candidate(i));
		}
		for (int i = 0; i < REQUESTS; i++) {
			int tokens = (int) Math.min(300_000, 1_000 / Math.pow(1 - this.random.nextDouble(), 1.2));
			this.requests.add(new RoutingRequest(tokens, 200, this.random.nextLong(16), 600, i % 2 == 0,
					TimeUnit.SECONDS.toNanos(20)));
		}
	}

	/**
	 * Decides for one request.
	 * @return the choice
	 */
	@Benchmark
	public RoutingChoice choose() {
		this.clock.advance(Duration.ofNanos(MICROS_BETWEEN * 1_000));
		RoutingRequest request = this.requests.get(this.next++ & (REQUESTS - 1));
		return this.policy.choose(request, this.choices, this.random);
	}

	private Candidate candidate(int number) {
		int running = this.random.nextInt(16);
		return new Candidate(new EndpointId("engine-" + number), 300_000_000, running, this.random.nextInt(3), 32,
				this.random.nextLong(20_000), this.random.nextLong(200_000), 400_000, this.random.nextLong(2_000),
				running / 7, 8, 200_000, 8_000 + this.random.nextInt(4_000), 0.02, 0, false);
	}

}
