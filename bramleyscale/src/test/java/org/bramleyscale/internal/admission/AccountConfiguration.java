package org.bramleyscale.internal.admission;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;

/**
 * A constant configuration that contains client accounts only.
 */
record AccountConfiguration(Configuration current) implements ConfigurationSource {

	static AccountConfiguration of(AccountRule... accounts) {
		return new AccountConfiguration(new Configuration(1, Register.EMPTY, new Rules(Set.of(), List.of(accounts))));
	}

	static AccountRule unlimited(String name, int weight) {
		return limited(name, weight, 0, 0, 1);
	}

	static AccountRule limited(String name, int weight, long tokensPerSecond, long burst, int entries) {
		return new AccountRule(new ClientAccountId(name), "hash-" + name, weight, tokensPerSecond, burst, List.of(),
				entries);
	}

	@Override
	public boolean fresh() {
		return true;
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
	}

}
