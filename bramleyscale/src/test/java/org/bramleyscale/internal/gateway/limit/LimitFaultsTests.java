package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Randomised tests of limits, with random fleets and faults.
 *
 * <p>
 * {@code -Dlimit.seeds=1000} runs more seeds.
 */
class LimitFaultsTests {

	private static final long END = 60_000;

	private static final Duration SPAN = Duration.ofSeconds(4);

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Long.getLong("limit.seeds", 60));
	}

	/**
	 * Guards against exceeding a limit because of restarts, lost messages and daemons
	 * that disagree about the holders.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void endpointNeverGetsMoreThanItsLimit(long seed) {
		Random random = new Random(seed);
		GatewayFleet fleet = new GatewayFleet(1 + random.nextInt(random.nextBoolean() ? 12 : 150),
				6 + random.nextInt(30), seed);
		double perSecond = 0.2 + 12 * random.nextDouble() * random.nextDouble();
		int callsPerSecond = 20 + random.nextInt(200);
		boolean restarts = random.nextBoolean();
		fleet.setMessageLoss(random.nextBoolean() ? 0.3 : 0);
		SimulatedEndpoint endpoint = fleet.limit(3, OptionalDouble.of(perSecond));
		boolean limited = true;
		int calls = 0;
		for (long millis = 0; millis < END; millis += 20) {
			for (int i = 0; i < callsPerSecond; i++) {
				if (random.nextInt(50) == 0) {
					fleet.call("request " + ++calls);
				}
			}
			if (restarts && random.nextInt(60) == 0) {
				fleet.restart(random.nextInt(fleet.daemons.size()));
			}
			if (random.nextInt(700) == 0) {
				limited = !limited;
				fleet.limit(3, limited ? OptionalDouble.of(perSecond) : OptionalDouble.empty());
			}
			fleet.scheduler.advance(Duration.ofMillis(20));
		}
		double allowed = 1.5 * perSecond * SPAN.toSeconds() + 5;
		Truth.assertThat(endpoint.maxRequestsInSpan(GatewayFleet.SETTLING_TIME.toMillis(), END, SPAN))
			.isAtMost((int) allowed);
	}

}
