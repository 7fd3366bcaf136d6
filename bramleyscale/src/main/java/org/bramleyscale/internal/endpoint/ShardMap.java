package org.bramleyscale.internal.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import com.google.common.hash.Hashing;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.membership.Member;

/**
 * Maps endpoints to shards and shards to the daemons that should own them.
 *
 * <p>
 * Invariant: two daemons with the same register and the same eligible members agree. The
 * number of a data centre's shards is the largest power of two that doesn't exceed its
 * number of VMs, so that there are about as many leases as daemons and the number seldom
 * changes. Confined to the scheduler's thread, since computed owners are cached.
 */
public final class ShardMap {

	private final Map<DataCentre, Integer> counts = new HashMap<>();

	private final Map<DataCentre, List<Member>> membersByDataCentre = new HashMap<>();

	private final Map<Shard, Optional<VmId>> owners = new HashMap<>();

	private final List<Member> eligible;

	public ShardMap(Register register, List<Member> eligible) {
		this.eligible = List.copyOf(eligible);
		for (VmEntry vm : register.vms()) {
			this.counts.merge(vm.dataCentre(), 1, Integer::sum);
		}
		this.counts.replaceAll((dataCentre, vms) -> Integer.highestOneBit(vms));
	}

	public Shard shard(EndpointEntry endpoint) {
		int count = this.counts.getOrDefault(endpoint.dataCentre(), 1);
		int hash = Hashing.murmur3_32_fixed().hashString(endpoint.name().value(), StandardCharsets.UTF_8).asInt();
		return new Shard(endpoint.dataCentre(), count, hash & (count - 1));
	}

	/**
	 * Returns the daemon that should own a shard: one of its data centre, or any daemon
	 * if that data centre has none.
	 * @param shard the shard
	 * @return the daemon's VM, or empty if there is no eligible member
	 */
	public Optional<VmId> owner(Shard shard) {
		return this.owners.computeIfAbsent(shard, this::findOwner);
	}

	public Optional<VmId> owner(EndpointEntry endpoint) {
		return owner(shard(endpoint));
	}

	/**
	 * Returns the shards of a data centre.
	 * @param dataCentre the data centre
	 * @return its shards in order
	 */
	public List<Shard> shards(DataCentre dataCentre) {
		int count = this.counts.getOrDefault(dataCentre, 1);
		return IntStream.range(0, count).mapToObj((number) -> new Shard(dataCentre, count, number)).toList();
	}

	private Optional<VmId> findOwner(Shard shard) {
		List<Member> local = this.membersByDataCentre.computeIfAbsent(shard.dataCentre(), this::members);
		List<Member> nodes = local.isEmpty() ? this.eligible : local;
		return Rendezvous.select(shard.leaseName(), nodes, (member) -> member.vm().value()).map(Member::vm);
	}

	private List<Member> members(DataCentre dataCentre) {
		return this.eligible.stream().filter((member) -> member.dataCentre().equals(dataCentre)).toList();
	}

}
