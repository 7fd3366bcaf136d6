package org.bramleyscale.internal.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link EventSplitter}.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid:3\ndata: c\n\n";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5, 7, 100 })
	void findsCompleteEventsRegardlessOfChunking(int piece) {
		EventSplitter splitter = new EventSplitter();
		List<String> ids = new ArrayList<>();
		StringBuilder bytes = new StringBuilder();
		for (int i = 0; i < STREAM.length(); i += piece) {
			for (EventSplitter.Event event : splitter
				.append(utf8(STREAM.substring(i, Math.min(STREAM.length(), i + piece))))) {
				ids.add(event.id());
				bytes.append(new String(event.bytes(), StandardCharsets.UTF_8));
			}
		}
		Truth.assertThat(ids).containsExactly("1", "2", "3").inOrder();
		Truth.assertThat(bytes.toString()).isEqualTo(STREAM);
		Truth.assertThat(splitter.remainder()).isEmpty();
	}

	@Test
	void keepsIncompleteEventAsRemainder() {
		EventSplitter splitter = new EventSplitter();
		Truth.assertThat(splitter.append(utf8("id: 1\ndata: a\n\nid: 2\ndata: to"))).hasSize(1);
		Truth.assertThat(splitter.remainder()).isEqualTo(utf8("id: 2\ndata: to"));
	}

	@ParameterizedTest
	@CsvSource(nullValues = "none",
			value = { "none, 1, true", "1, 2, true", "2, 2, false", "10, 9, false", "9, 10, true", "2, none, true" })
	void comparesIdsAsNumbers(String last, String id, boolean after) {
		Truth.assertThat(new EventSplitter.Event(id, new byte[0]).isAfter(last)).isEqualTo(after);
	}

	private static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
