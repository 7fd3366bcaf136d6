package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests of {@link FirstAddresses}.
 */
@Timeout(30)
class FirstAddressesTests {

	static Stream<Arguments> addresses() {
		Supplier<List<String>> known = () -> List.of("127.0.0.1:1");
		Supplier<List<String>> none = List::of;
		Supplier<List<String>> failing = () -> {
			throw new IllegalStateException("the test wants it");
		};
		return Stream.of(Arguments.of("known", known, false), Arguments.of("none", none, true),
				Arguments.of("failing", failing, true));
	}

	/** Guards against a process that ends at each start because one question fails. */
	@ParameterizedTest(name = "{0}")
	@MethodSource("addresses")
	void theWaitEndsWhateverTheAnswerIs(String name, Supplier<List<String>> addresses, boolean lasts) throws Exception {
		try (EventLoop loop = new EventLoop("test")) {
			long begun = loop.nanos();
			new FirstAddresses(loop, addresses).await();
			Duration waited = Duration.ofNanos(loop.nanos() - begun);
			Truth.assertThat(waited.compareTo(EntryList.LARGEST_DISCOVERY_TIME) >= 0).isEqualTo(lasts);
		}
	}

}
