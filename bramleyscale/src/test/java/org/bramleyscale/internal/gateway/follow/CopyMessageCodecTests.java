package org.bramleyscale.internal.gateway.follow;

import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerProtocolException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests of the messages of {@link PeerCopies} with the codec of the peer protocol.
 */
class CopyMessageCodecTests {

	private static final String PEER = "peer";

	static Stream<PeerMessage> messages() {
		SendingTimes toPeer = new SendingTimes(900, new Incarnation(new VmId("10.1.0.26"), 77), 800, 40);
		SendingTimes broadcast = new SendingTimes(900, null, 0, 0);
		return Stream.of(toPeer, broadcast)
			.flatMap((times) -> Stream.of(new CopiesDigest(List.of(new CopiesDigest.Held("config", 7, 9, 120)), times),
					new CopiesUpdate("config", 7, 9, 120, 86_400_000, List.of(), times)));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messagesAreDecodedAsTheyWereEncoded(PeerMessage message) throws PeerProtocolException {
		MessageCodec codec = codec(CopiesDigest.class, CopiesUpdate.class);
		Truth.assertThat(codec.decode(PEER, codec.encode(message))).hasValue(message);
	}

	@Test
	void readsMessagesOfAVersionWithoutTimestamps() throws PeerProtocolException {
		MessageCodec previous = codec(DigestWithoutTimes.class, UpdateWithoutTimes.class);
		MessageCodec current = codec(CopiesDigest.class, CopiesUpdate.class);
		Truth.assertThat(current.decode(PEER, previous.encode(new DigestWithoutTimes(List.of()))))
			.hasValue(new CopiesDigest(List.of(), null));
		Truth
			.assertThat(
					current.decode(PEER, previous.encode(new UpdateWithoutTimes("config", 7, 9, 120, 5, List.of()))))
			.hasValue(new CopiesUpdate("config", 7, 9, 120, 5, List.of(), null));
	}

	@Test
	void messagesAreReadByAVersionWithoutTimestamps() throws PeerProtocolException {
		MessageCodec previous = codec(DigestWithoutTimes.class, UpdateWithoutTimes.class);
		MessageCodec current = codec(CopiesDigest.class, CopiesUpdate.class);
		SendingTimes times = new SendingTimes(900, null, 0, 0);
		Truth.assertThat(previous.decode(PEER, current.encode(new CopiesDigest(List.of(), times))))
			.hasValue(new DigestWithoutTimes(List.of()));
		Truth
			.assertThat(
					previous.decode(PEER, current.encode(new CopiesUpdate("config", 7, 9, 120, 5, List.of(), times))))
			.hasValue(new UpdateWithoutTimes("config", 7, 9, 120, 5, List.of()));
	}

	private static MessageCodec codec(Class<? extends PeerMessage> digest, Class<? extends PeerMessage> update) {
		return new MessageCodec(MessageCatalog.builder().add(101, digest).add(102, update).build());
	}

	private record DigestWithoutTimes(List<CopiesDigest.Held> kinds) implements PeerMessage {
	}

	private record UpdateWithoutTimes(String kind, long from, long to, long ageMillis, long outageMillis,
			List<ObjectCopy> objects) implements PeerMessage {
	}

}
