package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FairAdmissionTests {

	private static final Duration HOUR = Duration.ofHours(1);

	private static final Predicate<RequestId> ANY = (id) -> true;

	private static final ServiceName HIRE = new ServiceName("hire");

	private static final ServiceName YARD = new ServiceName("yard");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Map<RequestId, AdmissionRequest> requests = new HashMap<>();

	private int issued;

	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "2, 1" })
	void sharesTokensByWeightWithinTenPercentUnderContention(int firstWeight, int secondWeight)
			throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", firstWeight),
				AccountConfiguration.unlimited("second", secondWeight));
		Random lengths = new Random(1);
		// The first account has a large backlog of all lengths, the second keeps only a
		// few requests waiting.
		for (int i = 0; i < 3_000; i++) {
			admit(admission, "first", HIRE, 1_000 + lengths.nextInt(60_000));
		}
		Map<ClientAccountId, Long> served = new HashMap<>();
		for (int i = 0; i < 600; i++) {
			for (int j = 0; j < 3; j++) {
				admit(admission, "second", HIRE, 1_000 + lengths.nextInt(20_000));
			}
			AdmissionRequest taken = this.requests.get(admission.next(ANY).orElseThrow());
			served.merge(taken.account(), taken.tokens(), Long::sum);
		}
		double first = served.get(new ClientAccountId("first"));
		double second = served.get(new ClientAccountId("second"));
		double fair = (double) firstWeight / secondWeight;
		Truth.assertThat(first / second).isWithin(0.1 * fair).of(fair);
	}

	/**
	 * Short prompts take as long as a long one ahead of them if all lengths share one
	 * queue whose head can't start: a long prompt waits for memory, then a short one of
	 * the same account or of another arrives.
	 */
	@ParameterizedTest
	@CsvSource({ "first", "second" })
	void shortPromptsStartBeforeALongOneThatCannotStart(String account) throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1),
				AccountConfiguration.unlimited("second", 1));
		RequestId manual = admit(admission, "first", HIRE, 300_000);
		RequestId quote = admit(admission, account, HIRE, 500);
		Truth.assertThat(admission.next((id) -> !id.equals(manual))).isEqualTo(Optional.of(quote));
		Truth.assertThat(admission.next((id) -> !id.equals(manual))).isEmpty();
		Truth.assertThat(admission.next(ANY)).isEqualTo(Optional.of(manual));
	}

	@Test
	void triesABoundedNumberOfHeadsHoweverManyRequestsWait() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		for (int i = 0; i < 2_000; i++) {
			admit(admission, "first", HIRE, 100 + 50 * i);
		}
		int[] tried = { 0 };
		admission.next((id) -> {
			tried[0]++;
			return false;
		});
		Truth.assertThat(tried[0]).isAtMost(15);
	}

	@Test
	void serviceWithoutCapacityDoesNotBlockOthers() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		RequestId quote = admit(admission, "first", HIRE, 500);
		RequestId booking = admit(admission, "first", YARD, 0);
		Truth.assertThat(admission.next((id) -> !id.equals(quote))).isEqualTo(Optional.of(booking));
	}

	/**
	 * With strict priority, normal requests never start while an urgent service always
	 * has another request waiting.
	 */
	@Test
	void startsUrgentRequestsFirstButLeavesAShareToOthers() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		long normal = 0;
		long urgent = 0;
		for (int i = 0; i < 2_000; i++) {
			admitUrgent(admission, 1_000);
			admit(admission, "first", YARD, 4_000);
			AdmissionRequest taken = this.requests.get(admission.next(ANY).orElseThrow());
			normal += taken.urgent() ? 0 : taken.tokens();
			urgent += taken.urgent() ? taken.tokens() : 0;
		}
		double share = (double) urgent / (urgent + normal);
		Truth.assertThat(share).isWithin(0.02).of(0.8);
	}

	@Test
	void refusesRequestsOverTheLimitWithTheTimeToRetry() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.limited("desk", 1, 1_000, 5_000, 1));
		admit(admission, "desk", HIRE, 4_000);
		ServingException refusal = refusal(admission, "desk", HIRE, 3_000);
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.RATE_LIMITED);
		Truth.assertThat(refusal.ran()).isEqualTo(Ran.NO);
		Truth.assertThat(refusal.step()).isEqualTo(Step.ADMIT);
		Duration retryAfter = refusal.retryAfter().orElseThrow();
		this.scheduler.advance(retryAfter.minusMillis(1));
		refusal(admission, "desk", HIRE, 3_000);
		this.scheduler.advance(Duration.ofMillis(1));
		admit(admission, "desk", HIRE, 3_000);
	}

	@Test
	void refusesRequestsThatCannotFinishBeforeTheDeadline() {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		AdmissionRequest request = new AdmissionRequest(nextId(), new ClientAccountId("first"), HIRE, 100, 100, false,
				Duration.ofSeconds(10), Duration.ofSeconds(11), Duration.ofSeconds(12));
		ServingException refusal = refusal(admission, request);
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.DEADLINE_TOO_SHORT);
		Truth.assertThat(refusal.retryAfter().orElseThrow()).isAtLeast(Duration.ofSeconds(1));
		Truth.assertThat(admission.waiting()).isEqualTo(0);
	}

	@Test
	void countsQueueingTimeAgainstTheDeadline() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		for (int i = 0; i < 30; i++) {
			admit(admission, "first", HIRE, 1_000);
		}
		for (int i = 0; i < 10; i++) {
			this.scheduler.advance(Duration.ofSeconds(1));
			admission.next(ANY);
		}
		AdmissionRequest request = new AdmissionRequest(nextId(), new ClientAccountId("first"), HIRE, 1_000, 0, false,
				Duration.ofSeconds(5), Duration.ofSeconds(1), Duration.ofSeconds(1));
		ServingException refusal = refusal(admission, request);
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.DEADLINE_TOO_SHORT);
		Truth.assertThat(refusal.retryAfter().orElseThrow()).isAtLeast(Duration.ofSeconds(12));
	}

	@Test
	void boundsTheNumberOfWaitingRequests() throws ServingException {
		FairAdmission admission = FairAdmission
			.builder(this.scheduler, AccountConfiguration.of(AccountConfiguration.unlimited("first", 1)),
					new MetricRegistry())
			.maxWaiting(2)
			.build();
		admit(admission, "first", HIRE, 100);
		RequestId second = admit(admission, "first", HIRE, 100);
		ServingException refusal = refusal(admission, "first", HIRE, 100);
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.OVERLOADED);
		Truth.assertThat(refusal.retryAfter()).isPresent();
		admission.withdraw(second);
		admit(admission, "first", HIRE, 100);
	}

	@Test
	void refundsUnusedTokens() throws ServingException {
		FairAdmission admission = admission(AccountConfiguration.limited("desk", 1, 1_000, 5_000, 1));
		RequestId withdrawn = admit(admission, "desk", HIRE, 5_000);
		admission.withdraw(withdrawn);
		RequestId failed = admit(admission, "desk", HIRE, 5_000);
		admission.next(ANY);
		admission.settle(failed, 0);
		RequestId cheap = admit(admission, "desk", HIRE, 5_000);
		admission.next(ANY);
		admission.settle(cheap, 1_000);
		admission.settle(cheap, 1_000);
		admit(admission, "desk", HIRE, 4_000);
		refusal(admission, "desk", HIRE, 1);
	}

	@Test
	void refusesAnAccountWithoutARule() {
		FairAdmission admission = admission(AccountConfiguration.unlimited("first", 1));
		ServingException refusal = refusal(admission, "stranger", HIRE, 1);
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.UNAUTHORIZED);
	}

	private FairAdmission admission(AccountRule... rules) {
		return FairAdmission.builder(this.scheduler, AccountConfiguration.of(rules), new MetricRegistry()).build();
	}

	private RequestId admit(FairAdmission admission, String account, ServiceName service, int promptTokens)
			throws ServingException {
		return admit(admission, account, service, promptTokens, false);
	}

	private void admitUrgent(FairAdmission admission, int promptTokens) throws ServingException {
		admit(admission, "first", HIRE, promptTokens, true);
	}

	private RequestId admit(FairAdmission admission, String account, ServiceName service, int promptTokens,
			boolean urgent) throws ServingException {
		AdmissionRequest request = request(account, service, promptTokens, urgent);
		admission.admit(request);
		this.requests.put(request.id(), request);
		return request.id();
	}

	private ServingException refusal(FairAdmission admission, String account, ServiceName service, int promptTokens) {
		return refusal(admission, request(account, service, promptTokens, false));
	}

	private static ServingException refusal(FairAdmission admission, AdmissionRequest request) {
		try {
			admission.admit(request);
		}
		catch (ServingException ex) {
			return ex;
		}
		throw new AssertionError("admitted " + request);
	}

	private AdmissionRequest request(String account, ServiceName service, int promptTokens, boolean urgent) {
		return new AdmissionRequest(nextId(), new ClientAccountId(account), service, promptTokens, 0, urgent, HOUR,
				Duration.ofMillis(100), Duration.ofMillis(100));
	}

	private RequestId nextId() {
		return new RequestId(new Incarnation(new VmId("entry-1"), 1), Integer.toString(this.issued++));
	}

}
