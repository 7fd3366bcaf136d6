package org.bramleyscale.internal.endpoint.owner;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FairSharesTests {

	@ParameterizedTest
	@CsvSource({ "12, 1 3 20, 1 3 8", "12, 20 20 20, 4 4 4", "13, 20 20 20, 5 4 4", "2, 5 5 5, 1 1 0",
			"100, 1 0 3, 1 0 3" })
	void dividesMaxMinFairly(long available, String wanted, String expected) {
		long[] wantedUnits = Arrays.stream(wanted.split(" ")).mapToLong(Long::parseLong).toArray();
		List<FairShares.Claim> claims = IntStream.range(0, wantedUnits.length)
			.mapToObj((i) -> new FairShares.Claim(wantedUnits[i], i))
			.toList();
		long[] shares = Arrays.stream(expected.split(" ")).mapToLong(Long::parseLong).toArray();
		Truth.assertThat(FairShares.divide(available, claims)).isEqualTo(shares);
	}

	@Property(tries = 300, seed = "5")
	void sharesExceedNeitherClaimsNorAvailableUnits(@ForAll @IntRange(max = 200) int available,
			@ForAll @Size(min = 1, max = 12) List<@IntRange(max = 60) Integer> wanted) {
		List<FairShares.Claim> claims = wanted.stream().map((want) -> new FairShares.Claim(want, want)).toList();
		long[] shares = FairShares.divide(available, claims);
		for (int i = 0; i < shares.length; i++) {
			Truth.assertThat(shares[i]).isAtMost(wanted.get(i).longValue());
		}
		long all = wanted.stream().mapToLong(Integer::longValue).sum();
		Truth.assertThat(Arrays.stream(shares).sum()).isEqualTo(Math.min(all, Math.min(available, all)));
	}

}
