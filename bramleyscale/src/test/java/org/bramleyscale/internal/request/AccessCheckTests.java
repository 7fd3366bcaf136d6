package org.bramleyscale.internal.request;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link AccessCheck} under rules whose lists are empty.
 */
class AccessCheckTests {

	private static final ServiceName PARKING = new ServiceName("parking");

	/**
	 * Guards against an empty list that lets everybody in. An account {@code none} is not
	 * in the rules; one without services may use all.
	 */
	@ParameterizedTest
	@CsvSource({ "none, '', UNAUTHORIZED", "other, '', UNAUTHORIZED", "same, parking, FORBIDDEN", "same, yard-app, ''",
			"same, '', ''" })
	void refusesWhatNoRuleAllows(String account, String service, String expected) {
		List<ServiceName> services = service.isEmpty() ? List.of() : List.of(new ServiceName(service));
		List<AccountRule> accounts = account.equals("none") ? List.of()
				: List
					.of(new AccountRule(account.equals("same") ? RequestFixture.ACCOUNT : new ClientAccountId("other"),
							"hash", 1, 1, 1, services, 2));
		String actual = "";
		try {
			new AccessCheck(new FixedSource(new Rules(Set.of(), accounts)))
				.check(new Work.Call(RequestFixture.booking(null, false)));
		}
		catch (ServingException ex) {
			Truth.assertThat(ex.ran()).isEqualTo(Ran.NO);
			actual = ex.code().name();
		}
		Truth.assertThat(actual).isEqualTo(expected.isEmpty() ? "" : ErrorCode.valueOf(expected).name());
	}

	/**
	 * A configuration with the plain services of the requests and other rules.
	 *
	 * @param rules the rules
	 */
	private record FixedSource(Rules rules) implements ConfigurationSource {

		@Override
		public Configuration current() {
			return new Configuration(1, new Register(List.of(), List.of(new ModelEntry(new ModelName("m"), 1)),
					List.of(plain(RequestFixture.YARD), plain(PARKING)), List.of()), this.rules);
		}

		private static ServiceEntry plain(ServiceName name) {
			return new ServiceEntry(name, ServiceEntry.Kind.PLAIN, RequestFixture.TIME_LIMIT, false);
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
