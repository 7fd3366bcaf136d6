package org.bramleyscale.internal.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.bramleyscale.ServiceName;

/**
 * Puts entries together to a configuration, and takes one apart.
 *
 * <p>
 * Invariant: each list of the configuration is sorted by name, so equal entries make
 * equal configurations. Stateless and safe for use by multiple threads.
 */
final class ConfigurationAssembly {

	private ConfigurationAssembly() {
	}

	static Configuration of(long version, Collection<StoredEntry> entries) {
		List<ConfigurationEntry> values = entries.stream().map(StoredEntry::value).flatMap(Optional::stream).toList();
		Register register = new Register(sorted(values, VmEntry.class), sorted(values, ModelEntry.class),
				sorted(values, ServiceEntry.class), sorted(values, EndpointEntry.class));
		Rules rules = new Rules(services(sorted(values, UrgentService.class)), sorted(values, AccountRule.class));
		return new Configuration(version, register, rules);
	}

	/**
	 * Makes the next configuration after a change of a few entries.
	 * @param old the configuration to start from
	 * @param version the version of the new one
	 * @param edits entries by key, empty ones for removals
	 * @return the new configuration
	 */
	static Configuration edited(Configuration old, long version, Map<EntryKey, Optional<StoredEntry>> edits) {
		Register register = old.register();
		Rules rules = old.rules();
		ListEdit<EndpointEntry> endpoints = ListEdit.of(register.endpoints(), EntryType.ENDPOINT, EndpointEntry.class,
				edits);
		ListEdit<AccountRule> accounts = ListEdit.of(rules.accounts(), EntryType.ACCOUNT, AccountRule.class, edits);
		Register nextRegister = new Register(ListEdit.of(register.vms(), EntryType.VM, VmEntry.class, edits).list(),
				ListEdit.of(register.models(), EntryType.MODEL, ModelEntry.class, edits).list(),
				ListEdit.of(register.services(), EntryType.SERVICE, ServiceEntry.class, edits).list(),
				endpoints.list());
		List<UrgentService> urgent = ListEdit
			.of(ListEdit.sorted(urgent(rules)), EntryType.URGENT, UrgentService.class, edits)
			.list();
		Rules nextRules = new Rules(services(urgent), accounts.list());
		return old.next(version, nextRegister, nextRules, endpoints, accounts);
	}

	static Stream<ConfigurationEntry> entries(Register register) {
		return Stream.of(register.vms(), register.models(), register.services(), register.endpoints())
			.flatMap(List::stream);
	}

	static Stream<ConfigurationEntry> entries(Rules rules) {
		return Stream.concat(urgent(rules).stream(), rules.accounts().stream());
	}

	private static List<UrgentService> urgent(Rules rules) {
		return rules.urgent().stream().map(UrgentService::new).toList();
	}

	private static Set<ServiceName> services(List<UrgentService> urgent) {
		return urgent.stream().map(UrgentService::name).collect(Collectors.toSet());
	}

	private static <E extends ConfigurationEntry> List<E> sorted(List<ConfigurationEntry> values, Class<E> type) {
		return ListEdit.sorted(values.stream().filter(type::isInstance).map(type::cast).toList());
	}

}
