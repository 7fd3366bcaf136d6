package org.bramleyscale.internal.configuration.document;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationChecks;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.bramleyscale.internal.configuration.Rules;

/**
 * The rules as a YAML document.
 *
 * <p>
 * Invariant: what {@link #format} writes, {@link #parse} reads back as equal rules.
 * Whether the services that rules name exist is checked where the rules meet a register.
 * Stateless and safe for use by multiple threads.
 */
public final class RulesDocument {

	private static final List<String> SECTIONS = List.of("urgent", "accounts");

	private static final List<String> ACCOUNT_FIELDS = List.of("name", "keyHash", "weight", "tokensPerSecond",
			"burstTokens", "services", "entries");

	private static final int DEFAULT_WEIGHT = 1;

	private static final int DEFAULT_BURST_SECONDS = 10;

	private static final int DEFAULT_ENTRIES = 2;

	private RulesDocument() {
	}

	/**
	 * Reads rules.
	 * @param yaml the document
	 * @return the rules
	 * @throws InvalidConfigurationException with everything that is wrong
	 */
	public static Rules parse(String yaml) throws InvalidConfigurationException {
		DocumentReader reader = new DocumentReader(yaml, SECTIONS);
		List<ServiceName> urgent = reader.root().list("urgent", FieldType.name(ServiceName::new));
		Rules rules = new Rules(Set.copyOf(urgent), reader.entries("accounts", RulesDocument::account));
		reader.finish(ConfigurationChecks.problems(rules));
		return rules;
	}

	/**
	 * Writes rules.
	 * @param rules the rules
	 * @return the document
	 */
	public static String format(Rules rules) {
		List<ServiceName> urgent = rules.urgent()
			.stream()
			.sorted(Comparator.comparing(ServiceName::value))
			.collect(Collectors.toUnmodifiableList());
		return DocumentWriter.write(new Layout(urgent, rules.accounts()));
	}

	private static AccountRule account(MappingReader fields) {
		fields.allowOnly(ACCOUNT_FIELDS);
		ClientAccountId name = fields.required("name", FieldType.name(ClientAccountId::new));
		String keyHash = fields.required("keyHash", FieldType.TEXT);
		Integer weight = fields.optional("weight", FieldType.INTEGER, DEFAULT_WEIGHT);
		Long tokensPerSecond = fields.required("tokensPerSecond", FieldType.LONG);
		Long burstTokens = fields.optional("burstTokens", FieldType.LONG, defaultBurst(tokensPerSecond));
		List<ServiceName> services = fields.restriction("services", FieldType.name(ServiceName::new));
		Integer entries = fields.optional("entries", FieldType.INTEGER, DEFAULT_ENTRIES);
		if (!fields.valid()) {
			return null;
		}
		return new AccountRule(name, keyHash, weight, tokensPerSecond, burstTokens, services, entries);
	}

	private static Long defaultBurst(Long tokensPerSecond) {
		long perSecond = (tokensPerSecond != null) ? tokensPerSecond : 0;
		return perSecond * DEFAULT_BURST_SECONDS;
	}

	/**
	 * The rules in the order in which they are written.
	 *
	 * @param urgent the urgent services, sorted, so that two daemons write the same text
	 * @param accounts the accounts
	 */
	private record Layout(List<ServiceName> urgent, List<AccountRule> accounts) {
	}

}
