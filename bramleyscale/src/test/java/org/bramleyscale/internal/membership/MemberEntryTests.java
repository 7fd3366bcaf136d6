package org.bramleyscale.internal.membership;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;

/**
 * Tests the laws on which the agreement of daemons rests: claims may arrive in any order
 * and any number of times.
 */
class MemberEntryTests {

	@Property(seed = "1")
	void mergingIsCommutative(@ForAll("entries") MemberEntry a, @ForAll("entries") MemberEntry b) {
		Truth.assertThat(a.merge(b)).isEqualTo(b.merge(a));
	}

	@Property(seed = "2")
	void mergingIsAssociative(@ForAll("entries") MemberEntry a, @ForAll("entries") MemberEntry b,
			@ForAll("entries") MemberEntry c) {
		Truth.assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
	}

	@Property(seed = "3")
	void mergingIsIdempotent(@ForAll("entries") MemberEntry a, @ForAll("entries") MemberEntry b) {
		Truth.assertThat(a.merge(b).merge(b)).isEqualTo(a.merge(b));
	}

	@Property(seed = "4")
	void leavingMarkOfAnIncarnationIsNeverRemoved(@ForAll("entries") MemberEntry a, @ForAll("entries") MemberEntry b) {
		MemberEntry merged = a.merge(b);
		for (MemberEntry claim : new MemberEntry[] { a, b }) {
			if (claim.leaving() && claim.incarnation().equals(merged.incarnation())) {
				Truth.assertThat(merged.leaving()).isTrue();
			}
		}
	}

	@Property(seed = "5")
	void refutationWinsOverTheRefutedClaim(@ForAll("entries") MemberEntry own, @ForAll("entries") MemberEntry claim) {
		if (own.incarnation().equals(claim.incarnation())) {
			MemberEntry merged = own.refuting(claim).merge(claim);
			Truth.assertThat(merged.health()).isEqualTo(Health.ALIVE);
			Truth.assertThat(merged.leaving()).isEqualTo(own.leaving() || claim.leaving());
		}
	}

	@Property(seed = "6")
	void differentClaimsHaveDifferentFingerprints(@ForAll("entries") MemberEntry a, @ForAll("entries") MemberEntry b) {
		Truth.assertThat(a.fingerprint() == b.fingerprint()).isEqualTo(a.equals(b));
	}

	@Provide
	Arbitrary<MemberEntry> entries() {
		return Combinators
			.combine(Arbitraries.integers().between(1, 3), Arbitraries.integers().between(0, 3),
					Arbitraries.of(Health.class), Arbitraries.of(true, false))
			.as((start, version, health,
					leaving) -> new MemberEntry(new PeerIdentity(new Incarnation(new VmId("entry-1"), start),
							new DataCentre("rawang"), "a:1", "a:2"), version, health, leaving));
	}

}
