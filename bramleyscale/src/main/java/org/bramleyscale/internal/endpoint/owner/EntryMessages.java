package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Demand;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.Grant;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.HeldMemory;
import org.bramleyscale.internal.endpoint.Release;
import org.bramleyscale.internal.endpoint.Renew;
import org.bramleyscale.internal.endpoint.Renewed;
import org.bramleyscale.internal.endpoint.Reserve;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Answers what entries send to the owner of their endpoints.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class EntryMessages {

	private final OwnedEndpoints endpoints;

	private final ShardLeases shards;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final BiConsumer<Incarnation, EndpointId> strangers;

	private final Counter demanded;

	/**
	 * Begins to answer once it listens.
	 * @param endpoints what is owned
	 * @param shards the shards owned
	 * @param peers where answers go
	 * @param settings the settings
	 * @param strangers told of who asked for an endpoint that isn't owned here
	 * @param demanded counts the demands for single endpoints
	 */
	EntryMessages(OwnedEndpoints endpoints, ShardLeases shards, PeerNetwork peers, EndpointSettings settings,
			BiConsumer<Incarnation, EndpointId> strangers, Counter demanded) {
		this.endpoints = endpoints;
		this.shards = shards;
		this.peers = peers;
		this.settings = settings;
		this.strangers = strangers;
		this.demanded = demanded;
	}

	void listen() {
		this.peers.listen(Demand.class, this::demanded);
		this.peers.listen(Reserve.class, this::reserve);
		this.peers.listen(Renew.class, this::renew);
		this.peers.listen(Release.class, this::release);
	}

	private void demanded(Incarnation from, Demand demand) {
		int lifetimeMillis = this.settings.lifetimeMillis(demand.periodMillis());
		List<GrantItem> grants = new ArrayList<>();
		Set<OwnedEndpoint> touched = new LinkedHashSet<>();
		this.endpoints.heard(from.vm());
		this.demanded.inc(demand.items().size());
		for (DemandItem item : demand.items()) {
			Optional<OwnedEndpoint> endpoint = current(item);
			endpoint.ifPresentOrElse(touched::add, () -> this.strangers.accept(from, item.endpoint()));
			endpoint.map((owned) -> owned.demanded(from, demand, item, lifetimeMillis)).ifPresent(grants::add);
		}
		if (!grants.isEmpty()) {
			this.peers.send(from.vm(), new Grant(demand.sentMillis(), lifetimeMillis, grants));
		}
		touched.forEach(this.endpoints::advance);
	}

	private Optional<OwnedEndpoint> current(DemandItem item) {
		this.endpoints.find(item.endpoint())
			.map(OwnedEndpoint::shard)
			.filter((shard) -> shard.shard().code() == item.shard())
			.ifPresent((shard) -> this.shards.superseded(shard.shard(), item.epoch()));
		return this.endpoints.find(item.endpoint());
	}

	private void reserve(Incarnation from, Reserve message) {
		Optional<OwnedEndpoint> endpoint = this.endpoints.find(message.endpoint());
		endpoint.ifPresentOrElse((owned) -> {
			owned.holds().reserve(from, message.hold(), message.kvTokens(), owned.leaving());
			this.endpoints.advance(owned);
		}, () -> this.strangers.accept(from, message.endpoint()));
	}

	private void renew(Incarnation from, Renew message) {
		List<String> renewed = new ArrayList<>();
		for (HeldMemory held : message.holds()) {
			Optional<OwnedEndpoint> endpoint = this.endpoints.find(held.endpoint());
			if (endpoint.isEmpty()) {
				this.strangers.accept(from, held.endpoint());
			}
			else if (endpoint.get().holds().renew(from, held.hold(), held.kvTokens())) {
				renewed.add(held.hold());
			}
		}
		if (!renewed.isEmpty()) {
			this.peers.send(from.vm(), new Renewed(renewed));
		}
	}

	private void release(Incarnation from, Release message) {
		this.endpoints.find(message.endpoint()).ifPresent((owned) -> {
			owned.holds().release(message.hold());
			this.endpoints.advance(owned);
		});
	}

}
