package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;

/**
 * One version of the whole configuration, with its look-ups.
 *
 * <p>
 * Invariant: two configurations with the same version are equal. Immutable and safe for
 * use by multiple threads.
 */
public final class Configuration {

	/** What a daemon holds before it heard any version. */
	public static final Configuration NONE = new Configuration(0, Register.EMPTY, Rules.EMPTY);

	private final long version;

	private final Register register;

	private final Rules rules;

	private final Map<ServiceName, ServiceEntry> services;

	private final Map<ModelName, ModelEntry> models;

	private final Map<EndpointId, EndpointEntry> endpoints;

	private final Map<ServiceName, List<EndpointEntry>> endpointsByService;

	private final Map<ClientAccountId, AccountRule> accounts;

	private final Map<String, AccountRule> accountsByKeyHash;

	public Configuration(long version, Register register, Rules rules) {
		this.version = version;
		this.register = register;
		this.rules = rules;
		this.services = index(register.services(), ServiceEntry::name);
		this.models = index(register.models(), ModelEntry::name);
		this.endpoints = index(register.endpoints(), EndpointEntry::name);
		this.endpointsByService = register.endpoints()
			.stream()
			.collect(Collectors.groupingBy(EndpointEntry::service, Collectors.toUnmodifiableList()));
		this.accounts = index(rules.accounts(), AccountRule::name);
		this.accountsByKeyHash = index(rules.accounts(), AccountRule::keyHash);
	}

	public long version() {
		return this.version;
	}

	public Register register() {
		return this.register;
	}

	public Rules rules() {
		return this.rules;
	}

	public Optional<ServiceEntry> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	public Optional<ModelEntry> model(ModelName name) {
		return Optional.ofNullable(this.models.get(name));
	}

	public Optional<EndpointEntry> endpoint(EndpointId name) {
		return Optional.ofNullable(this.endpoints.get(name));
	}

	/**
	 * The endpoints of a service.
	 * @param service the service
	 * @return its endpoints in the register's order, possibly none
	 */
	public List<EndpointEntry> endpoints(ServiceName service) {
		return this.endpointsByService.getOrDefault(service, List.of());
	}

	public Optional<AccountRule> account(ClientAccountId name) {
		return Optional.ofNullable(this.accounts.get(name));
	}

	/**
	 * The account that an API key belongs to.
	 * @param keyHash lower-case hex SHA-256 of the key
	 * @return the account, or empty if no account has this key
	 */
	public Optional<AccountRule> accountByKeyHash(String keyHash) {
		return Optional.ofNullable(this.accountsByKeyHash.get(keyHash));
	}

	public boolean urgent(ServiceName service) {
		return this.rules.urgent().contains(service);
	}

	private static <K, V> Map<K, V> index(List<V> entries, Function<V, K> key) {
		return entries.stream().collect(Collectors.toUnmodifiableMap(key, Function.identity()));
	}

}
