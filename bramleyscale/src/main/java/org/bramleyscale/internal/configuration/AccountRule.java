package org.bramleyscale.internal.configuration;

import java.util.List;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ServiceName;

/**
 * One client account of the rules.
 *
 * @param name the account
 * @param keyHash lower-case hex SHA-256 of its API key
 * @param weight its share when accounts compete; at least 1
 * @param tokensPerSecond its limit on prompt and answer tokens a second, over the fleet
 * @param burstTokens how many tokens it may use at once after a pause
 * @param services the services it may use; empty means all
 * @param entries how many entries its address answers name
 */
public record AccountRule(ClientAccountId name, String keyHash, int weight, long tokensPerSecond, long burstTokens,
		List<ServiceName> services, int entries) implements ConfigurationEntry {

	public AccountRule {
		services = List.copyOf(services);
	}

	public boolean mayUse(ServiceName service) {
		return this.services.isEmpty() || this.services.contains(service);
	}

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.ACCOUNT, this.name.value());
	}

}
