package org.bramleyscale.internal.gateway.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.FleetPresence;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.follow.PeerCopies;
import org.bramleyscale.internal.gateway.limit.FleetLimits;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.reachability.IndirectChecks;
import org.bramleyscale.internal.membership.MembershipMessages;
import org.bramleyscale.internal.membership.MembershipSettings;
import org.bramleyscale.internal.membership.MembershipTimes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerMessages;
import org.bramleyscale.internal.peer.TcpPeerSettings;
import org.bramleyscale.internal.platform.VmRecord;

/**
 * Creates the settings by which a daemon that relays requests connects to its peers.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param settings the daemon's settings
 * @param self the incarnation of the daemon
 */
record PeerSetup(GatewaySettings settings, Incarnation self) {

	/**
	 * Separates fleets from each other. It is no protection against attackers: peers
	 * communicate within a private network.
	 */
	private static final byte[] PEER_KEY = "bramleyscale gateway peers".getBytes(StandardCharsets.UTF_8);

	/**
	 * Half of the product's usual times: callers that are sent to a dead daemon lose one
	 * of two tries, and a lost connection alone doesn't reveal a daemon without power.
	 */
	private static final MembershipTimes MEMBERSHIP_TIMES = new MembershipTimes(Duration.ofMillis(500),
			Duration.ofMillis(1_500), Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofMillis(1_500),
			Duration.ofMillis(1_500), Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMillis(300),
			Duration.ofMillis(500), Duration.ofSeconds(5), Duration.ofMinutes(10));

	MembershipSettings membership() {
		return new MembershipSettings(identity(), seeds(), MembershipSettings.DEFAULT_MESH_LIMIT, MEMBERSHIP_TIMES);
	}

	PeerIdentity identity() {
		return new PeerIdentity(this.self, this.settings.dataCentre(),
				GatewaySettings.formatAddress(this.settings.peers()),
				GatewaySettings.formatAddress(this.settings.callers()), this.settings.capacity());
	}

	TcpPeerSettings connections() {
		return TcpPeerSettings.builder().identity(identity()).listen(this.settings.peers()).key(PEER_KEY).build();
	}

	private List<VmRecord> seeds() {
		int port = this.settings.peers().getPort();
		return this.settings.seeds()
			.stream()
			.filter((seed) -> !seed.equals(this.settings.vm()))
			.map((seed) -> new VmRecord(seed, this.settings.dataCentre(), seed.value() + ":" + port, "", false))
			.toList();
	}

	MessageCatalog messages() {
		MessageCatalog.Builder builder = MessageCatalog.builder();
		PeerMessages.register(builder);
		MembershipMessages.register(builder);
		PeerCopies.register(builder);
		LoadExchange.register(builder);
		FleetCrashGuard.register(builder);
		FleetLimits.register(builder);
		FleetPresence.register(builder);
		FleetReachability.register(builder);
		IndirectChecks.register(builder);
		return builder.build();
	}

}
