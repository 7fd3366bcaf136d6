package org.bramleyscale.daemon.demo.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests for {@link EventReader}.
 */
class EventReaderTests {

	private static final String STREAM = "id: 0\ndata: {\"a\":\"trễ\"}\n\n: keep-alive\n\n"
			+ "event: error\ndata: {}\n\ndata: [DONE]\n\ndata: cut off";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 1000 })
	void eventsAreTheSameHoweverBytesAreCut(int size) {
		List<String> events = new ArrayList<>();
		EventReader reader = new EventReader((event, data) -> events.add(event + "|" + data));
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < bytes.length; i += size) {
			reader.take(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + size)));
		}
		Truth.assertThat(events).containsExactly("|{\"a\":\"trễ\"}", "error|{}", "|[DONE]").inOrder();
	}

}
