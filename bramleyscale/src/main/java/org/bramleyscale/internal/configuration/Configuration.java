package org.bramleyscale.internal.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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

	private final Lookup<ServiceName, ServiceEntry> services;

	private final Lookup<ModelName, ModelEntry> models;

	private final Lookup<EndpointId, EndpointEntry> endpoints;

	private final Map<ServiceName, List<EndpointEntry>> endpointsByService;

	private final Lookup<ClientAccountId, AccountRule> accounts;

	private final Lookup<String, AccountRule> accountsByKeyHash;

	public Configuration(long version, Register register, Rules rules) {
		this.version = version;
		this.register = register;
		this.rules = rules;
		this.services = Lookup.of(register.services(), ServiceEntry::name);
		this.models = Lookup.of(register.models(), ModelEntry::name);
		this.endpoints = Lookup.of(register.endpoints(), EndpointEntry::name);
		this.endpointsByService = register.endpoints()
			.stream()
			.collect(Collectors.groupingBy(EndpointEntry::service, Collectors.toUnmodifiableList()));
		this.accounts = Lookup.of(rules.accounts(), AccountRule::name);
		this.accountsByKeyHash = Lookup.of(rules.accounts(), AccountRule::keyHash);
	}

	private Configuration(Configuration old, long version, Register register, Rules rules,
			ListEdit<EndpointEntry> endpointEdit, ListEdit<AccountRule> accountEdit) {
		this.version = version;
		this.register = register;
		this.rules = rules;
		this.services = Lookup.of(register.services(), ServiceEntry::name);
		this.models = Lookup.of(register.models(), ModelEntry::name);
		this.endpoints = old.endpoints.next(endpointEdit.list(), endpointEdit.gone(), endpointEdit.come());
		this.endpointsByService = old.regrouped(endpointEdit);
		this.accounts = old.accounts.next(accountEdit.list(), accountEdit.gone(), accountEdit.come());
		this.accountsByKeyHash = old.accountsByKeyHash.next(accountEdit.list(), accountEdit.gone(), accountEdit.come());
	}

	/**
	 * The next version after a change of a few entries.
	 * @param nextVersion its version
	 * @param nextRegister its register, with the changed endpoints
	 * @param nextRules its rules, with the changed accounts
	 * @param endpointEdit the change of the endpoints
	 * @param accountEdit the change of the accounts
	 * @return the next version
	 */
	Configuration next(long nextVersion, Register nextRegister, Rules nextRules, ListEdit<EndpointEntry> endpointEdit,
			ListEdit<AccountRule> accountEdit) {
		return new Configuration(this, nextVersion, nextRegister, nextRules, endpointEdit, accountEdit);
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
		return this.services.get(name);
	}

	public Optional<ModelEntry> model(ModelName name) {
		return this.models.get(name);
	}

	public Optional<EndpointEntry> endpoint(EndpointId name) {
		return this.endpoints.get(name);
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
		return this.accounts.get(name);
	}

	/**
	 * The account that an API key belongs to.
	 * @param keyHash lower-case hex SHA-256 of the key
	 * @return the account, or empty if no account has this key
	 */
	public Optional<AccountRule> accountByKeyHash(String keyHash) {
		return this.accountsByKeyHash.get(keyHash);
	}

	public boolean urgent(ServiceName service) {
		return this.rules.urgent().contains(service);
	}

	private Map<ServiceName, List<EndpointEntry>> regrouped(ListEdit<EndpointEntry> edit) {
		Map<ServiceName, List<EndpointEntry>> groups = new HashMap<>(this.endpointsByService);
		Stream.concat(edit.gone().stream(), edit.come().stream())
			.map(EndpointEntry::service)
			.distinct()
			.forEach((service) -> groups.put(service,
					edit.list().stream().filter((endpoint) -> endpoint.service().equals(service)).toList()));
		return groups;
	}

}
