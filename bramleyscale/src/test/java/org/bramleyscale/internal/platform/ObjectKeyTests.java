package org.bramleyscale.internal.platform;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link ObjectKey}.
 */
class ObjectKeyTests {

	/** Guards against names that mean something else in a path, a query or a header. */
	@ParameterizedTest
	@ValueSource(strings = { "", ".", "..", " ", "a b", "a/b", "a&b", "a+b", "a#", "a%26", "a?b", "a\n", "\u00e9",
			"\u0000", "\ud800" })
	void namesThatDoNotStandForThemselvesHaveNoKey(String name) {
		Truth.assertThat(ObjectKey.isValidName(name)).isFalse();
		Truth.assertThat(refusal(name)).contains("'" + name + "'");
	}

	private static String refusal(String name) {
		try {
			return "none: " + new ObjectKey("servers", name);
		}
		catch (IllegalArgumentException ex) {
			return ex.getMessage();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "-", "...", ".a", "..a", "a.", "i-7f3a91c2", "a:b_c~d" })
	void otherNamesHaveAKey(String name) {
		Truth.assertThat(new ObjectKey("servers", name).toString()).isEqualTo("servers/" + name);
	}

	/** Guards against a request whose head is refused because of a name. */
	@Test
	void namesHaveALongestLength() {
		Truth.assertThat(ObjectKey.isValidName("n".repeat(ObjectKey.MAX_NAME_LENGTH))).isTrue();
		Truth.assertThat(ObjectKey.isValidName("n".repeat(ObjectKey.MAX_NAME_LENGTH + 1))).isFalse();
	}

}
