package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.Rendezvous;

/**
 * Which endpoints of each service this entry uses.
 *
 * <p>
 * A fleet of thousands of endpoints is more than an entry can hold grants for. Each entry
 * uses a subset, two thirds of it from its own data centre where that has enough. The
 * more services are in use here, the smaller the subsets. Invariant: of the subsets of
 * one data centre's entries, as many hold any of its endpoints as any other, or one less;
 * subsets drawn by hashing would leave some endpoints without any entry. Confined to the
 * scheduler's thread.
 */
final class Subsets {

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private static final long SERVICE_IN_USE_FOR = Duration.ofSeconds(60).toNanos();

	private static final int SMALLEST = 3;

	private static final float LOCAL_PART = 2 / 3f;

	private final EndpointSettings settings;

	private final VmId self;

	private final DataCentre dataCentre;

	private final Map<ServiceName, Long> usedAt = new HashMap<>();

	private final Map<ServiceName, List<EndpointEntry>> chosen = new HashMap<>();

	private Configuration configuration = Configuration.NONE;

	private List<VmId> entries = List.of();

	private int size;

	private int maxPairs;

	Subsets(EndpointSettings settings, VmId self, DataCentre dataCentre) {
		this.settings = settings;
		this.self = self;
		this.dataCentre = dataCentre;
		this.size = settings.subsetSize();
	}

	void update(Configuration newer, int members) {
		this.configuration = newer;
		this.entries = newer.register()
			.vms()
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.dataCentre))
			.map(VmEntry::name)
			.sorted(BY_NAME)
			.toList();
		this.maxPairs = this.settings.maxPairs(members);
		this.chosen.clear();
	}

	/**
	 * The endpoints of a service that this entry uses.
	 * @param service the service
	 * @param now the time
	 * @return the endpoints in a stable order
	 */
	List<EndpointEntry> use(ServiceName service, long now) {
		Long before = this.usedAt.put(service, now);
		if (before == null) {
			resize(now);
		}
		return of(service);
	}

	List<EndpointEntry> of(ServiceName service) {
		return this.chosen.computeIfAbsent(service, this::choose);
	}

	/**
	 * All endpoints worth a contact while idle: everything if the fleet is small, else
	 * those of the services in use.
	 * @param now the time
	 * @return the endpoints
	 */
	Set<EndpointEntry> contacts(long now) {
		this.usedAt.values().removeIf((used) -> now - used > SERVICE_IN_USE_FOR);
		resize(now);
		Set<EndpointEntry> result = new LinkedHashSet<>();
		if (this.configuration.register().endpoints().size() <= this.maxPairs) {
			this.configuration.register().services().forEach((service) -> result.addAll(of(service.name())));
		}
		this.usedAt.keySet().forEach((service) -> result.addAll(of(service)));
		return result;
	}

	private void resize(long now) {
		int inUse = Math.max(1, this.usedAt.size());
		int affordable = Math.max(SMALLEST, this.maxPairs / inUse);
		int wanted = Math.min(this.settings.subsetSize(), affordable);
		boolean all = this.configuration.register().endpoints().size() <= this.maxPairs;
		int next = all ? this.settings.subsetSize() : wanted;
		if (next != this.size) {
			this.size = next;
			this.chosen.clear();
		}
	}

	private List<EndpointEntry> choose(ServiceName service) {
		List<EndpointEntry> all = this.configuration.endpoints(service);
		if (all.size() <= this.size) {
			return all;
		}
		List<EndpointEntry> local = all.stream().filter((entry) -> entry.dataCentre().equals(this.dataCentre)).toList();
		int localCount = Math.min(local.size(), Math.round(this.size * LOCAL_PART));
		List<EndpointEntry> remote = new ArrayList<>(all);
		remote.removeAll(Set.copyOf(local));
		int remoteCount = Math.min(remote.size(), this.size - localCount);
		List<EndpointEntry> result = new ArrayList<>();
		result.addAll(window(service, local, this.size - remoteCount));
		result.addAll(window(service, remote, remoteCount));
		return List.copyOf(result);
	}

	// The entry's window on the endpoints in a hashed order; the windows of all entries
	// of
	// its data centre begin at equal distances.
	private List<EndpointEntry> window(ServiceName service, List<EndpointEntry> endpoints, int count) {
		if (endpoints.size() <= count) {
			return endpoints;
		}
		List<EndpointEntry> ordered = new ArrayList<>(endpoints);
		ordered.sort(Comparator.comparingLong((entry) -> Rendezvous.weight(service.value(), entry.name().value())));
		int rank = Math.max(0, this.entries.indexOf(this.self));
		int start = (int) ((long) rank * ordered.size() / Math.max(1, this.entries.size()));
		List<EndpointEntry> result = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			result.add(ordered.get((start + i) % ordered.size()));
		}
		return result;
	}

}
