package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Slope;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.admission.AdmissionRequest;
import org.bramleyscale.internal.admission.FairAdmission;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.PredictivePolicy;
import org.bramleyscale.internal.routing.RoutingRequest;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Processor time of the decisions made for each request.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class DecisionCosts {

	private static final int[] MEMBERS = { 17, 68, 340, 1_700 };

	private static final int[] CANDIDATES = { 5, 10, 20, 50 };

	private static final int[] ACCOUNTS = { 10, 100, 1_000, 10_000 };

	private static final int[] REQUESTS = { 2_000, 4_000, 8_000 };

	private static final int SMALL = 50;

	private static final Duration TIME_LEFT = Duration.ofSeconds(60);

	private static final String NANOS = "ns";

	private final Figures figures;

	private final long seed;

	DecisionCosts(Figures figures, long seed) {
		this.figures = figures;
		this.seed = seed;
	}

	void measure() {
		slope("address", "ranking the entries of one account", "member", MEMBERS, this::ranking);
		slope("entry", "routing decision", "candidate", CANDIDATES, this::routing);
		slope("entry", "admission, start and settlement", "account", ACCOUNTS, this::admission);
		request();
	}

	private void slope(String duty, String what, String per, int[] sizes, IntFunction<Runnable> call) {
		Map<Integer, Double> costs = new TreeMap<>();
		// Without warming up, the first size would carry the cost of compilation.
		ProcessorClock.nanosPerCall(call.apply(sizes[sizes.length - 1]));
		for (int size : sizes) {
			double nanos = ProcessorClock.nanosPerCall(call.apply(size));
			costs.put(size, nanos);
			this.figures.add(duty, what + " at " + size, nanos, NANOS);
		}
		this.figures.add(duty, what, Slope.of(costs), NANOS, per);
	}

	private Runnable ranking(int members) {
		List<String> names = IntStream.range(0, members).mapToObj((index) -> "entry-" + index).toList();
		RendezvousHash<String> hash = new RendezvousHash<>((name) -> name);
		SplittableRandom random = new SplittableRandom(this.seed);
		return () -> hash.ranked("account-" + random.nextInt(1_000), names);
	}

	private Runnable routing(int candidates) {
		SplittableRandom random = new SplittableRandom(this.seed);
		PredictivePolicy policy = PredictivePolicy.builder(new ManualScheduler()).build();
		List<Candidate> all = IntStream.range(0, candidates)
			.mapToObj((index) -> new Candidate(new EndpointId("runner-" + index), 500_000_000L, random.nextInt(16), 0,
					16, random.nextInt(20_000), 100_000, 300_000, random.nextInt(2_000), random.nextInt(4), 8, 100_000,
					40_000, 0.02, 0, false))
			.toList();
		return () -> policy.choose(
				new RoutingRequest(1 + random.nextInt(4_000), 200, random.nextInt(100), 200, false, 1_000_000_000L),
				all, random);
	}

	private Runnable admission(int accounts) {
		FleetDocuments documents = new FleetDocuments(new FleetSize(1, 1, SMALL, accounts));
		Configuration configuration = new Configuration(1, documents.register(), documents.rules(0));
		ManualScheduler scheduler = new ManualScheduler();
		FairAdmission admission = FairAdmission
			.builder(scheduler, new FixedConfiguration(configuration), new MetricRegistry())
			.build();
		SplittableRandom random = new SplittableRandom(this.seed);
		List<ClientAccountId> names = IntStream.range(0, accounts).mapToObj(documents::account).toList();
		Incarnation self = new Incarnation(new VmId("entry-1"), 1);
		long[] next = new long[1];
		return () -> {
			scheduler.advance(Duration.ofMillis(1));
			int account = random.nextInt(accounts);
			RequestId id = new RequestId(self, "_" + Long.toString(next[0]++, 36));
			admit(admission, new AdmissionRequest(id, names.get(account), FleetDocuments.service(account), 100, 100,
					false, TIME_LEFT, Duration.ofMillis(10), Duration.ofMillis(100)));
			Optional<RequestId> started = admission.next((waiting) -> true);
			admission.settle(started.orElseThrow(), 150);
		};
	}

	private static void admit(FairAdmission admission, AdmissionRequest request) {
		try {
			admission.admit(request);
		}
		catch (ServingException ex) {
			throw new IllegalStateException("the request should be admitted", ex);
		}
	}

	// The whole path of a request within the slices: record, admission, routing, permit,
	// 16 frames, settlement; without HTTP.
	private void request() {
		Map<Integer, Double> costs = new TreeMap<>();
		SliceFleet fleet = SliceFleet.start(new FleetSize(1, 1, SMALL, SMALL), this.seed, false);
		send(fleet, REQUESTS[REQUESTS.length - 1]);
		for (int requests : REQUESTS) {
			costs.put(requests, ProcessorClock.nanos(() -> send(fleet, requests)) / 1e3);
		}
		this.figures.add("entry", "requests of 16 frames through the slices, without HTTP", Slope.of(costs), "us",
				"request");
		this.figures.add("entry", "those not completed", fleet.counts().missing(), "requests");
	}

	private static void send(SliceFleet fleet, int requests) {
		for (int i = 0; i < requests; i++) {
			fleet.send(i % SMALL, true);
			if (i % 5 == 0) {
				fleet.advance(Duration.ofMillis(20));
			}
		}
		fleet.advance(Duration.ofSeconds(5));
	}

}
