package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class MessageCodecTests {

	private static final String PEER = "entry-2";

	private static final Incarnation ISSUER = new Incarnation(new VmId("entry-1"), 1_790_000_000_000L);

	private final MessageCodec codec = new MessageCodec(MessageCatalog.builder()
		.add(101, Ids.class)
		.add(102, Numbers.class)
		.add(103, Containers.class)
		.add(104, Empty.class)
		.add(105, Bytes.class)
		.add(106, Narrow.class)
		.add(107, Wide.class)
		.build());

	@ParameterizedTest
	@MethodSource("boundaryValues")
	void valuesSurviveTheRoundTrip(PeerMessage message) throws PeerProtocolException {
		Truth.assertThat(this.codec.decode(PEER, this.codec.encode(message))).isEqualTo(Optional.of(message));
	}

	static Stream<PeerMessage> boundaryValues() {
		return Stream.of(
				new Ids(new VmId("a"), new DataCentre("shah-alam"), new EndpointId("10.0.0.1:80"), ISSUER,
						new RequestId(ISSUER, "x.Y_z-9"), new ClientAccountId("a".repeat(128)), new ModelName("m"),
						new ServiceName("s")),
				new Ids(null, null, null, null, null, null, null, null),
				new Numbers(Long.MIN_VALUE, Integer.MIN_VALUE, -0.0, Duration.ofSeconds(-3, 7), false, Ran.UNKNOWN),
				new Numbers(Long.MAX_VALUE, Integer.MAX_VALUE, Double.MIN_VALUE, Duration.ZERO, true, null),
				new Numbers(128, -33, Double.POSITIVE_INFINITY, Duration.ofDays(100_000), true, Ran.NO),
				new Containers(List.of(), Map.of(), Optional.empty(), ""),
				new Containers(List.of(new Part(new VmId("b"), List.of(1, -1, 70_000)), new Part(null, List.of())),
						Map.of(new EndpointId("e"), new Part(new VmId("c"), List.of(0))),
						Optional.of(new Part(new VmId("d"), List.of())), "Bến Xe Mở \uD83D\uDE8C \u0000"),
				new Containers(null, null, Optional.empty(), "x".repeat(70_000)), new Empty());
	}

	@Test
	void bytesSurviveTheRoundTrip() throws PeerProtocolException {
		for (int size : new int[] { 0, 1, 255, 256, 65_536, 1_000_000 }) {
			byte[] value = new byte[size];
			Bytes decoded = (Bytes) this.codec.decode(PEER, this.codec.encode(new Bytes(value))).orElseThrow();
			Truth.assertThat(decoded.value()).isEqualTo(value);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 100, 10_000, 1_000_000 })
	void incompressiblePayloadTakesNoMoreThanUncompressed(int size) throws PeerProtocolException {
		byte[] value = new byte[size];
		new Random(size).nextBytes(value);
		byte[] payload = this.codec.encode(new Bytes(value));
		Truth.assertThat(payload.length).isLessThan(size + 20);
		Truth.assertThat(((Bytes) this.codec.decode(PEER, payload).orElseThrow()).value()).isEqualTo(value);
	}

	@Test
	void compressedFrameOfAnUnauthenticatedPeerIsNotDecompressed() throws PeerProtocolException {
		// Guards against an unauthenticated peer that exhausts a daemon's memory: before
		// the handshake is complete it sends a frame of 2 KB that decompresses to
		// megabytes.
		byte[] payload = this.codec.encode(new Bytes(new byte[1_000_000]));
		Truth.assertThat(payload.length).isLessThan(10_000);
		Truth.assertThat(this.codec.decodeUnauthenticated(PEER, payload)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, -1, 999_999, 1_000_100, Integer.MAX_VALUE })
	void compressedFrameWithAWrongLengthIsMalformed(int claimedLength) throws Exception {
		byte[] uncompressed = new byte[1_000_000];
		byte[] compressed = PayloadCompression.compress(uncompressed);
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(3).packInt(MessageCodec.PROTOCOL_VERSION).packInt(0);
			packer.packArrayHeader(2).packInt(claimedLength);
			packer.packBinaryHeader(compressed.length).writePayload(compressed);
			Truth.assertThat(decodeFailure(packer.toByteArray()).kind())
				.isEqualTo(PeerProtocolException.Kind.MALFORMED);
		}
	}

	@Test
	void bytesTakeNoMoreThanTheirSizeAndAHeader() {
		Truth.assertThat(this.codec.encode(new Bytes(new byte[1_000_000])).length).isLessThan(1_000_010);
	}

	@Test
	void recordsAndIdsAreEncodedWithoutComponentNames() {
		byte[] payload = this.codec.encode(new Narrow(new VmId("entry-1")));
		Truth.assertThat(payload)
			.isEqualTo(new byte[] { (byte) 0x93, 1, 106, (byte) 0x91, (byte) 0xa7, 'e', 'n', 't', 'r', 'y', '-', '1' });
	}

	@Test
	void unknownCodeDecodesToEmpty() throws PeerProtocolException {
		Truth.assertThat(this.codec.decode(PEER, new byte[] { (byte) 0x93, 1, 99, (byte) 0x90 })).isEmpty();
	}

	@Test
	void appendedComponentsAreIgnored() throws PeerProtocolException {
		byte[] payload = this.codec.encode(new Wide(new VmId("a"), 7, "new"));
		payload[2] = 106;
		Truth.assertThat(this.codec.decode(PEER, payload)).isEqualTo(Optional.of(new Narrow(new VmId("a"))));
	}

	@Test
	void missingComponentsDecodeToNullOrZero() throws PeerProtocolException {
		byte[] payload = this.codec.encode(new Narrow(new VmId("a")));
		payload[2] = 107;
		Truth.assertThat(this.codec.decode(PEER, payload)).isEqualTo(Optional.of(new Wide(new VmId("a"), 0, null)));
	}

	@Test
	void otherProtocolVersionIsReportedAsWrongVersion() {
		PeerProtocolException ex = decodeFailure(new byte[] { (byte) 0x93, 2, 104, (byte) 0x90 });
		Truth.assertThat(ex.kind()).isEqualTo(PeerProtocolException.Kind.WRONG_VERSION);
		Truth.assertThat(ex.peer()).isEqualTo(PEER);
	}

	/**
	 * The last values have headers that claim lengths of up to two gigabytes in a few
	 * bytes.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "c0", "93", "9301", "930168", "93016890ff", "92016890", "94016890c0", "9301a16890",
			"930168a0", "93016591a2207e", "474554202f20485454502f312e31", "93016991c67fffffff", "93016991c6ffffffff00",
			"93016991db7fffffff", "93016991dd7fffffffdd7fffffff", "93016991df7fffffff" })
	void malformedPayloadIsRejected(String hex) {
		byte[] payload = bytes(hex);
		PeerProtocolException ex = decodeFailure(payload);
		Truth.assertWithMessage(ex.getMessage()).that(ex.kind()).isEqualTo(PeerProtocolException.Kind.MALFORMED);
	}

	private PeerProtocolException decodeFailure(byte[] payload) {
		try {
			this.codec.decode(PEER, payload);
		}
		catch (PeerProtocolException ex) {
			return ex;
		}
		throw new AssertionError("decoded a malformed payload");
	}

	private static byte[] bytes(String hex) {
		byte[] result = new byte[hex.length() / 2];
		for (int i = 0; i < result.length; i++) {
			result[i] = (byte) Integer.parseInt(hex.substring(2 * i, 2 * i + 2), 16);
		}
		return result;
	}

	private record Ids(VmId vm, DataCentre dataCentre, EndpointId endpoint, Incarnation incarnation, RequestId request,
			ClientAccountId account, ModelName model, ServiceName service) implements PeerMessage {
	}

	private record Numbers(long a, int b, double c, Duration d, boolean e, Ran f) implements PeerMessage {
	}

	private record Part(VmId vm, List<Integer> numbers) {

		boolean isEmpty() {
			return this.numbers.isEmpty();
		}

	}

	private record Containers(List<Part> list, Map<EndpointId, Part> map, Optional<Part> optional,
			String text) implements PeerMessage {
	}

	private record Empty() implements PeerMessage {
	}

	private record Bytes(byte[] value) implements PeerMessage {
	}

	private record Narrow(VmId vm) implements PeerMessage {
	}

	private record Wide(VmId vm, int number, String text) implements PeerMessage {
	}

}
