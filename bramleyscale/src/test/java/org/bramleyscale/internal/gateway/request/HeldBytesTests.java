package org.bramleyscale.internal.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests of {@link HeldBytes}, and of requests whose endpoints send more than can be held.
 */
class HeldBytesTests {

	private static final int LIMIT = 1_000;

	private final List<String> evicted = new ArrayList<>();

	private final HeldBytes bytes = new HeldBytes(LIMIT);

	/** Guards against losing sound responses to one without end. */
	@Test
	void whoeverHoldsTheMostIsEvicted() {
		HeldBytes.Holder small = open("small");
		HeldBytes.Holder endless = open("endless");
		Truth.assertThat(small.hold(300)).isTrue();
		Truth.assertThat(endless.hold(700)).isTrue();
		Truth.assertThat(small.hold(301)).isTrue();
		Truth.assertThat(this.evicted).containsExactly("endless");
		Truth.assertThat(endless.hold(701)).isFalse();
		Truth.assertThat(this.bytes.total()).isEqualTo(301);
		small.release();
		Truth.assertThat(this.bytes.total()).isEqualTo(0);
	}

	static LongStream seeds() {
		return LongStream.rangeClosed(1, 50);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void noMoreThanTheLimitIsHeld(long seed) {
		Random random = new Random(seed);
		List<HeldBytes.Holder> holders = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			holders.add(open("h" + i));
		}
		for (int i = 0; i < 500; i++) {
			HeldBytes.Holder holder = holders.get(random.nextInt(20));
			if (random.nextInt(4) == 0) {
				holder.release();
			}
			else {
				holder.hold(random.nextInt(2 * LIMIT));
			}
			Truth.assertThat(this.bytes.total()).isAtMost(LIMIT);
		}
		holders.forEach(HeldBytes.Holder::release);
		Truth.assertThat(this.bytes.total()).isEqualTo(0);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void bodyConsistsOfItsPieces(long seed) {
		Random random = new Random(seed);
		HeldBody body = new HeldBody();
		ByteArrayOutputStream expected = new ByteArrayOutputStream();
		for (int i = 0; i < 50; i++) {
			byte[] piece = new byte[random.nextInt(10_000)];
			random.nextBytes(piece);
			body.add(piece);
			expected.writeBytes(piece);
		}
		Truth.assertThat(body.size()).isEqualTo(expected.size());
		Truth.assertThat(body.toByteArray()).isEqualTo(expected.toByteArray());
	}

	/** Guards against a body without end that fills the heap. */
	@ParameterizedTest
	@CsvSource({ "/log/1, false, 2, 200 ok", "/book/1, false, 1, own 502", "/stream/1, false, 2, 200 ok",
			"/stream/1, true, 2, 200 ok" })
	void responseLargerThanCanBeHeldIsCutOff(String path, boolean events, int sent, String got) {
		RelayFixture fixture = new RelayFixture();
		RecordingCaller caller = fixture.call(path);
		SentRequest first = fixture.last();
		first.listener.head(RelayFixture.head(200, false, true, events));
		byte[] piece = new byte[RelayFixture.HELD_LIMIT / 10];
		for (int i = 0; i < 11; i++) {
			first.listener.data(piece);
			Truth.assertThat(fixture.heldBytes.total()).isAtMost(RelayFixture.HELD_LIMIT);
		}
		Truth.assertThat(first.cancelled).isTrue();
		Truth.assertThat(fixture.heldBytes.total()).isEqualTo(0);
		Truth.assertThat(fixture.sent).hasSize(sent);
		if (sent > 1) {
			fixture.last().respond(200, false, "ok");
		}
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
	}

	/** Guards against waiting for the end of a body that nobody needs. */
	@ParameterizedTest
	@CsvSource({ "503, true, false", "421, true, false", "200, false, false" })
	void responseWhoseBodyIsNotNeededIsDecidedByItsHead(int status, boolean notRun, boolean genuine) {
		RelayFixture fixture = new RelayFixture();
		fixture.call("/log/1");
		SentRequest first = fixture.last();
		first.listener.head(RelayFixture.head(status, notRun, genuine, false));
		Truth.assertThat(first.skipped).isTrue();
		Truth.assertThat(fixture.sent).hasSize(2);
		first.listener.data(new byte[2 * RelayFixture.HELD_LIMIT]);
		Truth.assertThat(fixture.heldBytes.total()).isEqualTo(0);
	}

	private HeldBytes.Holder open(String name) {
		return this.bytes.open(() -> this.evicted.add(name));
	}

}
