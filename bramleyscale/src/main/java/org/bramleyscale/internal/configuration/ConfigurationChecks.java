package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.common.net.HostAndPort;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;

/**
 * Checks a register and rules as a whole.
 *
 * <p>
 * Every change passes these checks, also one that never was a document, so that no daemon
 * ever holds an endpoint of a service that doesn't exist. Not safe for use by multiple
 * threads; each run makes its own instance.
 */
public final class ConfigurationChecks {

	private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(100);

	private static final Duration LONGEST_TIMEOUT = Duration.ofHours(24);

	private static final int LARGEST_WEIGHT = 1000;

	private static final int MOST_ENTRIES = 64;

	private final Register register;

	private final Rules rules;

	private final Set<ServiceName> services;

	private final Set<ModelName> models;

	private final List<ConfigurationProblem> problems = new ArrayList<>();

	private ConfigurationChecks(Register register, Rules rules) {
		this.register = register;
		this.rules = rules;
		this.services = register.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
		this.models = register.models().stream().map(ModelEntry::name).collect(Collectors.toSet());
	}

	/**
	 * Finds everything that is wrong.
	 * @param register the register
	 * @param rules the rules
	 * @return the problems, possibly none
	 */
	public static List<ConfigurationProblem> problems(Register register, Rules rules) {
		ConfigurationChecks checks = new ConfigurationChecks(register, rules);
		checks.checkRegister();
		checks.checkRules(true);
		return List.copyOf(checks.problems);
	}

	/**
	 * Finds what is wrong with a register alone.
	 * @param register the register
	 * @return the problems, possibly none
	 */
	public static List<ConfigurationProblem> problems(Register register) {
		return problems(register, Rules.EMPTY);
	}

	/**
	 * Finds what is wrong with rules alone, whatever services there are.
	 * @param rules the rules
	 * @return the problems, possibly none
	 */
	public static List<ConfigurationProblem> problems(Rules rules) {
		ConfigurationChecks checks = new ConfigurationChecks(Register.EMPTY, rules);
		checks.checkRules(false);
		return List.copyOf(checks.problems);
	}

	private void checkRegister() {
		duplicates("vms", this.register.vms(), (vm) -> vm.name().value());
		duplicates("models", this.register.models(), (model) -> model.name().value());
		duplicates("services", this.register.services(), (service) -> service.name().value());
		duplicates("endpoints", this.register.endpoints(), (endpoint) -> endpoint.name().value());
		this.register.models().forEach(this::checkModel);
		this.register.services().forEach(this::checkService);
		Map<ServiceName, ServiceEntry> byName = new HashMap<>();
		this.register.services().forEach((service) -> byName.put(service.name(), service));
		this.register.endpoints().forEach((endpoint) -> checkEndpoint(endpoint, byName.get(endpoint.service())));
	}

	private void checkModel(ModelEntry model) {
		if (model.contextTokens() < 1) {
			add(path("models", model.name()) + ".contextTokens", model.contextTokens(), "a whole number from 1");
		}
	}

	private void checkService(ServiceEntry service) {
		Duration timeout = service.timeout();
		if (timeout.compareTo(SHORTEST_TIMEOUT) < 0 || timeout.compareTo(LONGEST_TIMEOUT) > 0) {
			add(path("services", service.name()) + ".timeout", timeout, "a duration from 100ms to 24 hours");
		}
	}

	private void checkEndpoint(EndpointEntry endpoint, ServiceEntry service) {
		String path = path("endpoints", endpoint.name());
		if (service == null) {
			add(path + ".service", endpoint.service(), "a service of the register");
		}
		else if ((service.kind() == ServiceEntry.Kind.MODEL) == endpoint.models().isEmpty()) {
			add(path + ".models", endpoint.models(),
					"at least one model if the service is of kind model, and none if it is plain");
		}
		endpoint.models()
			.stream()
			.filter((model) -> !this.models.contains(model))
			.forEach((model) -> add(path + ".models", model, "models of the register"));
		if (!isAddress(endpoint.address())) {
			add(path + ".address", endpoint.address(), "a host and a port, such as 10.1.2.3:8000");
		}
	}

	private static boolean isAddress(String text) {
		try {
			return HostAndPort.fromString(text).hasPort() && !HostAndPort.fromString(text).getHost().isEmpty();
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private void checkRules(boolean registerKnown) {
		duplicates("accounts", this.rules.accounts(), (account) -> account.name().value());
		checkKeyHashes();
		this.rules.accounts().forEach(this::checkLimits);
		if (registerKnown) {
			this.rules.urgent().forEach((service) -> requireService("urgent", service));
			this.rules.accounts()
				.forEach((account) -> account.services()
					.forEach((service) -> requireService(path("accounts", account.name()) + ".services", service)));
		}
	}

	// Two accounts with one key would make the account of a request depend on chance.
	private void checkKeyHashes() {
		Map<String, AccountRule> owners = new HashMap<>();
		for (AccountRule account : this.rules.accounts()) {
			String path = path("accounts", account.name()) + ".keyHash";
			if (!account.keyHash().matches("[0-9a-f]{64}")) {
				add(path, "(hidden)", "64 lower-case hex digits, the SHA-256 of the account's key");
				continue;
			}
			AccountRule owner = owners.putIfAbsent(account.keyHash(), account);
			if (owner != null) {
				add(path, "(hidden)", "a hash of its own; account " + owner.name() + " has the same");
			}
		}
	}

	private void checkLimits(AccountRule account) {
		String path = path("accounts", account.name());
		if (account.weight() < 1 || account.weight() > LARGEST_WEIGHT) {
			add(path + ".weight", account.weight(), "a whole number from 1 to " + LARGEST_WEIGHT);
		}
		if (account.tokensPerSecond() < 1) {
			add(path + ".tokensPerSecond", account.tokensPerSecond(), "a whole number from 1");
		}
		if (account.burstTokens() < 1) {
			add(path + ".burstTokens", account.burstTokens(), "a whole number from 1");
		}
		if (account.entries() < 1 || account.entries() > MOST_ENTRIES) {
			add(path + ".entries", account.entries(), "a whole number from 1 to " + MOST_ENTRIES);
		}
	}

	private void requireService(String path, ServiceName service) {
		if (!this.services.contains(service)) {
			add(path, service, "services of the register");
		}
	}

	private <E> void duplicates(String section, List<E> entries, Function<E, String> name) {
		Set<String> seen = new HashSet<>();
		entries.stream()
			.map(name)
			.filter((given) -> !seen.add(given))
			.forEach((given) -> add(path(section, given), given, "a name that no other entry of the section has"));
	}

	private void add(String path, Object value, String allowed) {
		this.problems.add(new ConfigurationProblem(path, String.valueOf(value), allowed));
	}

	private static String path(String section, Object name) {
		return section + "[" + name + "]";
	}

}
