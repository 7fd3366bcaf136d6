package org.bramleyscale.internal.gateway.http;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which request a response belongs to.
 */
class ResponseOwnerTests {

	/** Guards against a response that names this request among others. */
	@ParameterizedTest
	@CsvSource({ "'', UNNAMED", "r1, THIS_REQUEST", "r2, OTHER_REQUEST", "R1, OTHER_REQUEST", "r1 r2, SEVERAL_REQUESTS",
			"r1 r1, SEVERAL_REQUESTS" })
	void responseBelongsToTheOnlyRequestThatItNames(String named, ResponseOwner owner) {
		List<String> ids = named.isEmpty() ? List.of() : List.of(named.split(" "));
		Truth.assertThat(ResponseOwner.of(ids, "r1")).isEqualTo(owner);
	}

}
