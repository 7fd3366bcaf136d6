package org.bramleyscale.internal.gateway.crash;

import java.nio.charset.StandardCharsets;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link RequestDigest}.
 */
class RequestDigestTests {

	@Test
	void isEqualForRepeatedRequest() {
		Truth.assertThat(digest("/quote/1?a=b", "yard", "text")).isEqualTo(digest("/quote/1?a=b", "yard", "text"));
	}

	@ParameterizedTest
	@CsvSource({ "/quote/2, yard, text", "/quote/1, pit, text", "/quote/1, yard, texts", "/quote/1y, ard, text",
			"/quote/1?a, yard, text", "/quote/1, yardt, ext" })
	void differsWithPathCallerAndBody(String target, String caller, String body) {
		Truth.assertThat(digest(target, caller, body)).isNotEqualTo(digest("/quote/1", "yard", "text"));
	}

	private static RequestDigest digest(String target, String caller, String body) {
		return RequestDigest.of(target, caller, body.getBytes(StandardCharsets.UTF_8));
	}

}
