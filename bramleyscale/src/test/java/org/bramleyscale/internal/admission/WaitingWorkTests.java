package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

class WaitingWorkTests {

	private static final ClientAccountId DESK = new ClientAccountId("desk");

	private static final ServiceName HIRE = new ServiceName("hire");

	private static final ServiceName YARD = new ServiceName("yard");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final FairAdmission admission = FairAdmission
		.builder(this.scheduler, new OneAccount(), new MetricRegistry())
		.build();

	@Test
	void reportsNumberAndAgeOfWaitingRequestsByService() throws ServingException {
		Truth.assertThat(this.admission.waitingWork()).isEmpty();
		admit("entry-1~a~1", YARD, false);
		this.scheduler.advance(Duration.ofSeconds(2));
		admit("entry-1~a~2", HIRE, true);
		this.scheduler.advance(Duration.ofSeconds(3));
		admit("entry-1~a~3", HIRE, true);
		WaitingWork yard = new WaitingWork(YARD, false, 1, Duration.ofSeconds(5));
		Truth.assertThat(this.admission.waitingWork())
			.containsExactly(new WaitingWork(HIRE, true, 2, Duration.ofSeconds(3)), yard)
			.inOrder();
		this.admission.next((id) -> id.equals(RequestId.parse("entry-1~a~2")));
		this.admission.withdraw(RequestId.parse("entry-1~a~3"));
		Truth.assertThat(this.admission.waitingWork()).containsExactly(yard);
	}

	private void admit(String id, ServiceName service, boolean urgent) throws ServingException {
		this.admission.admit(new AdmissionRequest(RequestId.parse(id), DESK, service, 10, 10, urgent,
				Duration.ofMinutes(1), Duration.ofMillis(10), Duration.ofMillis(100)));
	}

	/**
	 * A configuration with one account.
	 */
	private static final class OneAccount implements ConfigurationSource {

		private final Configuration configuration = new Configuration(1, Register.EMPTY,
				new Rules(Set.of(), List.of(new AccountRule(DESK, "a".repeat(64), 1, 1000, 1000, List.of(), 2))));

		@Override
		public Configuration current() {
			return this.configuration;
		}

		@Override
		public boolean fresh() {
			return true;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
		}

	}

}
