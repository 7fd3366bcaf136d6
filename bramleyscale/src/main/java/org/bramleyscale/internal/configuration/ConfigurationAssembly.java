package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
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
	 * Makes the next configuration without going through all entries of types that didn't
	 * change.
	 * @param old the configuration to start from
	 * @param version the version of the new one
	 * @param edits entries by key, empty ones for removals
	 * @return the new configuration
	 */
	static Configuration edited(Configuration old, long version, Map<EntryKey, Optional<StoredEntry>> edits) {
		Register register = old.register();
		Rules rules = old.rules();
		Register nextRegister = new Register(edited(register.vms(), VmEntry.class, edits),
				edited(register.models(), ModelEntry.class, edits),
				edited(register.services(), ServiceEntry.class, edits),
				edited(register.endpoints(), EndpointEntry.class, edits));
		List<UrgentService> urgent = edited(urgent(rules), UrgentService.class, edits);
		Rules nextRules = new Rules(services(urgent), edited(rules.accounts(), AccountRule.class, edits));
		return new Configuration(version, nextRegister, nextRules);
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
		return values.stream().filter(type::isInstance).map(type::cast).sorted(byName()).toList();
	}

	private static <E extends ConfigurationEntry> List<E> edited(List<E> old, Class<E> type,
			Map<EntryKey, Optional<StoredEntry>> edits) {
		int code = code(type);
		Set<String> names = edits.keySet()
			.stream()
			.filter((key) -> key.type() == code)
			.map(EntryKey::name)
			.collect(Collectors.toCollection(HashSet::new));
		if (names.isEmpty()) {
			return old;
		}
		List<E> next = new ArrayList<>(old.size() + names.size());
		old.stream().filter((entry) -> !names.contains(entry.key().name())).forEach(next::add);
		edits.values()
			.stream()
			.flatMap(Optional::stream)
			.map(StoredEntry::value)
			.flatMap(Optional::stream)
			.filter(type::isInstance)
			.map(type::cast)
			.forEach(next::add);
		next.sort(byName());
		return next;
	}

	private static <E extends ConfigurationEntry> Comparator<E> byName() {
		Function<E, String> name = (entry) -> entry.key().name();
		return Comparator.comparing(name);
	}

	private static int code(Class<?> type) {
		for (EntryType known : EntryType.values()) {
			if (known.entryClass() == type) {
				return known.code();
			}
		}
		throw new IllegalArgumentException("'" + type + "' is no type of entry");
	}

}
