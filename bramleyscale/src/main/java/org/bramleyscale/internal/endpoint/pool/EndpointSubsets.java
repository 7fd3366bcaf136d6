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
 * Selects the endpoints of each service that this entry uses.
 *
 * <p>
 * An entry cannot hold grants for all endpoints of a fleet of thousands. Each entry uses
 * a subset, two thirds of it from its own data centre if that has enough endpoints. The
 * more services are in use here, the smaller the subsets. Invariant: the numbers of the
 * entries of one data centre that use any two of its endpoints differ by at most one;
 * subsets drawn by hashing would leave some endpoints without any entry. Confined to the
 * scheduler's thread.
 */
final class EndpointSubsets {

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private static final long SERVICE_IN_USE_FOR = Duration.ofSeconds(60).toNanos();

	private static final int MIN_SIZE = 3;

	private static final float LOCAL_SHARE = 2 / 3f;

	private final EndpointSettings settings;

	private final VmId self;

	private final DataCentre dataCentre;

	private final Map<ServiceName, Long> usedAt = new HashMap<>();

	private final Map<ServiceName, List<EndpointEntry>> subsets = new HashMap<>();

	private Configuration configuration = Configuration.NONE;

	private List<VmId> entries = List.of();

	private int size;

	private int maxPairs;

	EndpointSubsets(EndpointSettings settings, VmId self, DataCentre dataCentre) {
		this.settings = settings;
		this.self = self;
		this.dataCentre = dataCentre;
		this.size = settings.subsetSize();
	}

	void update(Configuration latest, int members) {
		this.configuration = latest;
		this.entries = latest.register()
			.vms()
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.dataCentre))
			.map(VmEntry::name)
			.sorted(BY_NAME)
			.toList();
		this.maxPairs = this.settings.maxPairs(members);
		this.subsets.clear();
	}

	/**
	 * Returns the endpoints of a service that this entry uses, and marks the service as
	 * in use.
	 * @param service the service
	 * @param now the time
	 * @return the endpoints in a stable order
	 */
	List<EndpointEntry> use(ServiceName service, long now) {
		Long previousUse = this.usedAt.put(service, now);
		if (previousUse == null) {
			resize(now);
		}
		return subset(service);
	}

	List<EndpointEntry> subset(ServiceName service) {
		return this.subsets.computeIfAbsent(service, this::choose);
	}

	/**
	 * Returns the endpoints to stay in contact with while they are idle: all subsets if
	 * the fleet is small, else those of the services in use.
	 * @param now the time
	 * @return the endpoints
	 */
	Set<EndpointEntry> contacts(long now) {
		this.usedAt.values().removeIf((lastUse) -> now - lastUse > SERVICE_IN_USE_FOR);
		resize(now);
		Set<EndpointEntry> result = new LinkedHashSet<>();
		if (this.configuration.register().endpoints().size() <= this.maxPairs) {
			this.configuration.register().services().forEach((service) -> result.addAll(subset(service.name())));
		}
		this.usedAt.keySet().forEach((service) -> result.addAll(subset(service)));
		return result;
	}

	private void resize(long now) {
		int inUse = Math.max(1, this.usedAt.size());
		int maxSize = Math.max(MIN_SIZE, this.maxPairs / inUse);
		int limitedSize = Math.min(this.settings.subsetSize(), maxSize);
		boolean all = this.configuration.register().endpoints().size() <= this.maxPairs;
		int newSize = all ? this.settings.subsetSize() : limitedSize;
		if (newSize != this.size) {
			this.size = newSize;
			this.subsets.clear();
		}
	}

	private List<EndpointEntry> choose(ServiceName service) {
		List<EndpointEntry> all = this.configuration.endpoints(service);
		if (all.size() <= this.size) {
			return all;
		}
		List<EndpointEntry> local = all.stream().filter((entry) -> entry.dataCentre().equals(this.dataCentre)).toList();
		int localCount = Math.min(local.size(), Math.round(this.size * LOCAL_SHARE));
		List<EndpointEntry> remote = new ArrayList<>(all);
		remote.removeAll(Set.copyOf(local));
		int remoteCount = Math.min(remote.size(), this.size - localCount);
		List<EndpointEntry> result = new ArrayList<>();
		result.addAll(window(service, local, this.size - remoteCount));
		result.addAll(window(service, remote, remoteCount));
		return List.copyOf(result);
	}

	// Returns the entry's window on the endpoints in hashed order. The windows of all
	// entries of its data centre start at equal distances.
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
