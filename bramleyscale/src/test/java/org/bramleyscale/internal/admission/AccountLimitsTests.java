package org.bramleyscale.internal.admission;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.configuration.AccountRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AccountLimitsTests {

	private static final long SECOND = 1_000_000_000;

	/**
	 * An account exceeds its limit for the whole duration of a network partition if
	 * shares don't expire: one daemon has nearly the whole limit as its share and is
	 * disconnected from the home daemon, which then assigns that share to others.
	 */
	@ParameterizedTest
	@CsvSource({ "900, 1, 900", "900, 7, 300", "100, 7, 100", "0, 1, 3", "5000, 1, 900" })
	void fallsBackToAnEqualShareOnceTheShareHasExpired(double share, long atSeconds, double rate) {
		AccountRule rule = AccountConfiguration.limited("desk", 1, 900, 9_000, 3);
		AccountLimits limits = new AccountLimits();
		limits.setShare(rule.name(), share, 6 * SECOND);
		Truth.assertThat(limits.bucket(rule, atSeconds * SECOND).rate()).isEqualTo(rate);
	}

	@ParameterizedTest
	@CsvSource({ "1, 900", "3, 300" })
	void startsWithAnEqualShare(int entries, double rate) {
		AccountRule rule = AccountConfiguration.limited("desk", 1, 900, 9_000, entries);
		Truth.assertThat(new AccountLimits().bucket(rule, 0).rate()).isEqualTo(rate);
	}

}
