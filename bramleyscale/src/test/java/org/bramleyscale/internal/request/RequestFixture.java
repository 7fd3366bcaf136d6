package org.bramleyscale.internal.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.admission.TokenEstimator;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingRequest;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * The request handling of daemons, with fakes of all its dependencies.
 */
final class RequestFixture {

	static final ClientAccountId ACCOUNT = new ClientAccountId("hire-desk");

	static final ClientAccountId OTHER_ACCOUNT = new ClientAccountId("bus-stops");

	static final ServiceName ASSISTANT = new ServiceName("hire-assistant");

	static final ServiceName YARD = new ServiceName("yard-app");

	static final ModelName MODEL = new ModelName("quote-7b");

	static final Duration TIME_LIMIT = Duration.ofSeconds(60);

	static final String ANSWER = "Two jaw crusher units are free on Monday.";

	final ManualScheduler scheduler = new ManualScheduler();

	final FakeEngines engines = new FakeEngines();

	final FakePeers peers = new FakePeers(this.scheduler);

	final Map<String, FakeAdmission> admissions = new LinkedHashMap<>();

	final Map<String, MetricRegistry> metrics = new LinkedHashMap<>();

	final List<GroupRequest> groups = new ArrayList<>();

	final FakePool pool;

	boolean fresh = true;

	int promptTokens = 10;

	private final Configuration configuration;

	RequestFixture() {
		this.configuration = new Configuration(1,
				new Register(List.of(), List.of(new ModelEntry(MODEL, 1_000_000)),
						List.of(new ServiceEntry(ASSISTANT, ServiceEntry.Kind.MODEL, TIME_LIMIT, true),
								new ServiceEntry(YARD, ServiceEntry.Kind.PLAIN, TIME_LIMIT, false)),
						List.of(endpoint("engine-1", ASSISTANT, MODEL), endpoint("engine-2", ASSISTANT, MODEL),
								endpoint("engine-3", ASSISTANT, MODEL), endpoint("yard-1", YARD, null),
								endpoint("yard-2", YARD, null))),
				new Rules(Set.of(ASSISTANT), List.of(account(ACCOUNT), account(OTHER_ACCOUNT))));
		this.pool = new FakePool(this.configuration);
	}

	DefaultRequestService daemon(String vm) {
		return daemon(vm, 1);
	}

	DefaultRequestService daemon(String vm, long incarnation) {
		return daemon(vm, incarnation, RequestSettings.builder().build());
	}

	DefaultRequestService daemon(String vm, long incarnation, RequestSettings settings) {
		FakePeers.Peer peer = this.peers.join(new Incarnation(new VmId(vm), incarnation));
		this.admissions.put(vm, new FakeAdmission());
		this.metrics.put(vm, new MetricRegistry());
		return DefaultRequestService.builder()
			.scheduler(this.scheduler)
			.random(new Random(7))
			.configuration(new Source())
			.membership(peer)
			.network(peer)
			.admission(this.admissions.get(vm))
			.estimator(new Estimator())
			.policy(RequestFixture::firstIfCapacity)
			.pool(this.pool)
			.reservations(new Groups())
			.client(this.engines)
			.metrics(this.metrics.get(vm))
			.settings(settings)
			.build();
	}

	private static RoutingChoice firstIfCapacity(RoutingRequest request, List<Candidate> candidates,
			RandomGenerator random) {
		boolean hasCapacity = !candidates.isEmpty() && candidates.get(0).grantKvTokens() >= request.kvTokens();
		return (hasCapacity) ? new RoutingChoice(0, 0, 0) : RoutingChoice.WAIT;
	}

	long count(String vm, String metric) {
		return this.metrics.get(vm).counter("request." + metric).getCount();
	}

	void advance(Duration span) {
		this.scheduler.advance(span);
	}

	void run() {
		this.scheduler.runDue();
	}

	static RequestId id(String vm, String suffix) {
		return new RequestId(new Incarnation(new VmId(vm), 1), suffix);
	}

	static GenerateRequest quote(RequestId id, boolean repeatable) {
		return new GenerateRequest(Optional.ofNullable(id), ACCOUNT, ASSISTANT, MODEL, "Which crushers are free?", 100,
				repeatable, TIME_LIMIT);
	}

	static PlainRequest booking(RequestId id, boolean repeatable) {
		return new PlainRequest(Optional.ofNullable(id), ACCOUNT, YARD, "POST", "/bookings", Map.of(),
				"lowloader".getBytes(StandardCharsets.UTF_8), repeatable, TIME_LIMIT);
	}

	static EndpointEntry endpoint(String name, ServiceName service, ModelName model) {
		List<ModelName> models = (model != null) ? List.of(model) : List.of();
		return new EndpointEntry(new EndpointId(name), service, FakePeers.DATA_CENTRE, "127.0.0.1:1", models, true,
				false);
	}

	private static AccountRule account(ClientAccountId name) {
		return new AccountRule(name, name.value(), 1, 1000, 1000, List.of(), 2);
	}

	/**
	 * One requested reservation.
	 *
	 * @param kvTokens the requested memory, in KV tokens
	 * @param reserved the callback for a successful reservation
	 * @param failed the callback for a failed reservation
	 */
	record GroupRequest(long kvTokens, Consumer<List<Reservations.GroupMember>> reserved,
			Consumer<ServingException> failed) {
	}

	/**
	 * Records reservations and leaves their outcome to the test.
	 */
	private final class Groups implements Reservations {

		@Override
		public Reservation reserve(RequestId request, ServiceName service, ModelName model, long kvTokens,
				Duration within, Consumer<List<GroupMember>> reserved, Consumer<ServingException> failed) {
			GroupRequest groupRequest = new GroupRequest(kvTokens, reserved, failed);
			RequestFixture.this.groups.add(groupRequest);
			return () -> RequestFixture.this.groups.remove(groupRequest);
		}

		@Override
		public long largestGroupTokens(ServiceName service, ModelName model) {
			return 300_000;
		}

	}

	/**
	 * Returns the estimate set by the test.
	 */
	private final class Estimator implements TokenEstimator {

		@Override
		public int estimate(ModelName model, String prompt) {
			return RequestFixture.this.promptTokens;
		}

		@Override
		public void learn(ModelName model, String prompt, int tokens) {
		}

	}

	/**
	 * Returns the configuration of the fixture.
	 */
	private final class Source implements ConfigurationSource {

		@Override
		public Configuration current() {
			return RequestFixture.this.configuration;
		}

		@Override
		public boolean fresh() {
			return RequestFixture.this.fresh;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
		}

	}

}
