package org.bramleyscale.bench.jmh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.admission.AdmissionRequest;
import org.bramleyscale.internal.admission.FairAdmission;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
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
 * The time to admit a request, take it from the queue and settle it, by the number of
 * accounts.
 *
 * <p>
 * Used by one thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class AdmissionBenchmark {

	private static final ServiceName SERVICE = new ServiceName("hire-assistant");

	private static final int KEY_LENGTH = 64;

	private static final long LIMIT = 1_000_000_000L;

	private static final int TOKENS = 1_000;

	private static final int IDS = 4_096;

	/** The number of client accounts. */
	@Param({ "10", "1000", "13000" })
	public int accounts;

	private final ManualScheduler clock = new ManualScheduler();

	private final List<RequestId> ids = new ArrayList<>();

	private final List<ClientAccountId> names = new ArrayList<>();

	private FairAdmission admission;

	private int next;

	/**
	 * Makes the accounts, each with a limit that is never reached.
	 */
	@Setup
	public void prepare() {
		Incarnation self = new Incarnation(new VmId("entry-1"), 1);
		for (int i = 0; i < IDS; i++) {
			this.ids.add(new RequestId(self, "r" + i));
		}
		List<AccountRule> rules = new ArrayList<>();
		for (int i = 0; i < this.accounts; i++) {
			this.names.add(new ClientAccountId("account-" + i));
			rules.add(new AccountRule(this.names.get(i), String.format("%0" + KEY_LENGTH + "x", i), 1 + i % 4, LIMIT,
					LIMIT, List.of(), 2));
		}
		Configuration configuration = new Configuration(1, Register.EMPTY, new Rules(Set.of(), rules));
		this.admission = FairAdmission.builder(this.clock, new Fixed(configuration), new MetricRegistry()).build();
	}

	/**
	 * Takes one request through admission.
	 * @return the request taken from the queue
	 * @throws ServingException if it is refused
	 */
	@Benchmark
	public Optional<RequestId> admitAndTake() throws ServingException {
		this.clock.advance(Duration.ofMillis(1));
		int number = this.next++;
		RequestId id = this.ids.get(number & (IDS - 1));
		this.admission.admit(new AdmissionRequest(id, this.names.get(number % this.accounts), SERVICE, TOKENS, TOKENS,
				number % 2 == 0, Duration.ofSeconds(20), Duration.ofMillis(100), Duration.ofSeconds(2)));
		Optional<RequestId> taken = this.admission.next((waiting) -> true);
		this.admission.settle(id, TOKENS);
		return taken;
	}

	/**
	 * A configuration that never changes.
	 *
	 * @param current the configuration
	 */
	private record Fixed(Configuration current) implements ConfigurationSource {

		@Override
		public boolean fresh() {
			return true;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
			listener.accept(this.current);
		}

	}

}
