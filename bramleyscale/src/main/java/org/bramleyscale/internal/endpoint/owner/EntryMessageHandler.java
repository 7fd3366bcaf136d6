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
 * Handles the messages that entries send to the owner of their endpoints.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class EntryMessageHandler {

	private final OwnedEndpoints endpoints;

	private final ShardLeases shards;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final BiConsumer<Incarnation, EndpointId> notOwned;

	private final Counter demanded;

	/**
	 * Creates a handler; it handles messages once {@link #listen()} was called.
	 * @param endpoints the endpoints owned here
	 * @param shards the leases of the shards owned here
	 * @param peers the network on which messages arrive and answers are sent
	 * @param settings the settings
	 * @param notOwned called with the sender of a message about an endpoint that is not
	 * owned here
	 * @param demanded counts the demand items, one per endpoint
	 */
	EntryMessageHandler(OwnedEndpoints endpoints, ShardLeases shards, PeerNetwork peers, EndpointSettings settings,
			BiConsumer<Incarnation, EndpointId> notOwned, Counter demanded) {
		this.endpoints = endpoints;
		this.shards = shards;
		this.peers = peers;
		this.settings = settings;
		this.notOwned = notOwned;
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
		Set<OwnedEndpoint> affected = new LinkedHashSet<>();
		this.endpoints.contacted(from.vm());
		this.demanded.inc(demand.items().size());
		for (DemandItem item : demand.items()) {
			Optional<OwnedEndpoint> endpoint = findCurrent(item);
			endpoint.ifPresentOrElse(affected::add, () -> this.notOwned.accept(from, item.endpoint()));
			endpoint.map((owned) -> owned.demandReceived(from, demand, item, lifetimeMillis)).ifPresent(grants::add);
		}
		if (!grants.isEmpty()) {
			this.peers.send(from.vm(), new Grant(demand.sentMillis(), lifetimeMillis, grants));
		}
		affected.forEach(this.endpoints::advance);
	}

	private Optional<OwnedEndpoint> findCurrent(DemandItem item) {
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
		}, () -> this.notOwned.accept(from, message.endpoint()));
	}

	private void renew(Incarnation from, Renew message) {
		List<String> renewed = new ArrayList<>();
		for (HeldMemory held : message.holds()) {
			Optional<OwnedEndpoint> endpoint = this.endpoints.find(held.endpoint());
			if (endpoint.isEmpty()) {
				this.notOwned.accept(from, held.endpoint());
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
