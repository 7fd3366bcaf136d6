package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of a daemon towards a peer that misbehaves.
 */
class ConfigurationSpreadTests {

	private final TestFleet fleet = new TestFleet(1, 2, 1);

	private final PeerNetwork stranger = this.fleet.peers.join(new Incarnation(new VmId("x-9"), 1));

	private final VmId daemon = new VmId("a-0");

	private final List<ConfigurationRequest> requests = new ArrayList<>();

	@BeforeEach
	void fill() {
		this.stranger.listen(ConfigurationPing.class, (from, message) -> {
		});
		this.stranger.listen(ConfigurationDelta.class, (from, message) -> {
		});
		this.stranger.listen(ConfigurationDigest.class, (from, message) -> {
		});
		this.stranger.listen(ConfigurationRequest.class, (from, message) -> this.requests.add(message));
		this.fleet.propose("a-0", Samples.first()).join();
		this.fleet.advance(3000);
	}

	@Test
	void aDeltaThatDoesNotLeadToItsHashIsDroppedAndTheWholeAskedFor() {
		// Symptom: two daemons hold different content under one version. Sequence: a
		// delta
		// is damaged or was made from other content. Cause: applying it unchecked.
		byte[] entries = ConfigurationCodec.encode(List.of(StoredEntry.of(Samples.account(9, 1)).encoded()));
		this.stranger.send(this.daemon, new ConfigurationDelta(1, 2, ContentHash.NONE, entries, ""));
		this.fleet.advance(10);
		Truth.assertThat(this.fleet.daemon("a-0").version()).isEqualTo(1);
		Truth.assertThat(this.requests.get(0).version()).isEqualTo(ConfigurationRequest.WHOLE);
	}

	@Test
	void aDeltaOfAnotherBaseIsNotAppliedButItsVersionFetched() {
		byte[] entries = ConfigurationCodec.encode(List.of(StoredEntry.of(Samples.account(9, 1)).encoded()));
		this.stranger.send(this.daemon, new ConfigurationDelta(2, 3, ContentHash.NONE, entries, ""));
		this.fleet.advance(10);
		Truth.assertThat(this.fleet.daemon("a-0").version()).isEqualTo(1);
		Truth.assertThat(this.requests.get(0).version()).isEqualTo(1);
	}

	@Test
	void damagedPiecesAreDropped() {
		this.stranger.send(this.daemon, new ConfigurationDelta(2, 3, ContentHash.NONE, new byte[0], ""));
		this.fleet.advance(10);
		this.stranger.send(this.daemon, new ConfigurationChunk(3, ContentHash.NONE, 0, 1, new byte[] { 1, 2 }));
		this.stranger.send(this.daemon, new ConfigurationChunk(3, ContentHash.NONE, 7, 9, new byte[] { 1, 2 }));
		this.fleet.advance(1000);
		Truth.assertThat(this.fleet.daemon("a-0").version()).isEqualTo(1);
	}

	@Test
	void aPeerThatClaimsAVersionNobodyHasStopsNoChange() {
		this.stranger.send(this.daemon, new ConfigurationPing(1, 50, ContentHash.NONE));
		this.fleet.advance(5000);
		ChangeResult result = this.fleet.propose("a-0", Change.of("change-2", 1, "mei", Samples.rules(1))).join();
		Truth.assertThat(((ChangeResult.Accepted) result).version()).isEqualTo(2);
		Truth.assertThat(this.fleet.daemon("a-0").service.fresh()).isTrue();
	}

}
