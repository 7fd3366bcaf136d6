package org.bramleyscale.internal.endpoint;

import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Encoding and sizes of the messages of the endpoint package.
 */
class EndpointMessagesTests {

	private static final EndpointId ENDPOINT = new EndpointId("engine-shah-alam-0421");

	/** Bytes of the length field that precedes a frame's payload. */
	private static final int LENGTH_FIELD_BYTES = 4;

	private static final String HOLD = "vm-17~m5x8k2ab~42.1";

	private static final LoadReport REPORT = new LoadReport(ENDPOINT, 1_796_000_000_123L, 86_400, 40, 12, 64, 180_000,
			700_000, 1_200_000, false, List.of("quote-8b", "notice-vi-3b"));

	private final MessageCodec codec = codec();

	@ParameterizedTest
	@MethodSource("messages")
	void encodedMessageDecodesToAnEqualOne(PeerMessage message) throws Exception {
		Truth.assertThat(this.codec.decode("vm-2", this.codec.encode(message))).hasValue(message);
	}

	@Test
	void demandAndGrantStayWithinTheSizesAssumedBySettings() {
		int demand = this.codec.encode(new Demand(86_400_000, 1_000, List.of(demandItem(), demandItem()))).length
				- this.codec.encode(new Demand(86_400_000, 1_000, List.of(demandItem()))).length;
		GrantItem item = grantItem(GrantedReport.of(REPORT, 900, GrantedReport.modelsHash(REPORT)));
		int grant = this.codec.encode(new Grant(86_400_000, 2_000, List.of(item, item))).length
				- this.codec.encode(new Grant(86_400_000, 2_000, List.of(item))).length;
		Truth.assertThat(demand + grant).isAtMost(EndpointSettings.BYTES_PER_ENDPOINT);
		int frames = this.codec.encode(new Demand(86_400_000, 1_000, List.of())).length
				+ this.codec.encode(new Grant(86_400_000, 2_000, List.of())).length + 2 * LENGTH_FIELD_BYTES;
		Truth.assertThat(frames).isAtMost(EndpointSettings.FRAME_OVERHEAD_BYTES);
	}

	static Stream<PeerMessage> messages() {
		return Stream.of(new Demand(86_400_000, 250, List.of(demandItem())),
				new Grant(86_400_000, 2_000, List.of(grantItem(GrantedReport.of(REPORT, 900, 0)))),
				new Grant(86_400_000, 2_000,
						List.of(grantItem(GrantedReport.of(REPORT, 900, GrantedReport.modelsHash(REPORT))))),
				new Grant(86_400_000, 2_000, List.of(grantItem(null))),
				new OwnerAnnounced(new DataCentre("rawang"), 5, 12), new Redirect(ENDPOINT, new VmId("vm-3"), 12),
				new Reserve(ENDPOINT, HOLD, 900_000), new Reserved(ENDPOINT, HOLD),
				new Refused(ENDPOINT, HOLD, Refused.Reason.LOST),
				new Renew(List.of(new HeldMemory(ENDPOINT, HOLD, 900_000))), new Renewed(List.of(HOLD)),
				new Release(ENDPOINT, HOLD));
	}

	private static DemandItem demandItem() {
		return new DemandItem(ENDPOINT, 5, 1_200, 4_000, 20, 300_000, 12, 180_000, 19, 270_000, 0, false,
				GrantedReport.modelsHash(REPORT), 3, 90_000);
	}

	private static GrantItem grantItem(GrantedReport report) {
		return new GrantItem(ENDPOINT, 5, 1_200, 4_001, 20, 300_000, false, report, 3);
	}

	private static MessageCodec codec() {
		MessageCatalog.Builder catalog = MessageCatalog.builder();
		EndpointMessages.register(catalog);
		return new MessageCodec(catalog.build());
	}

}
