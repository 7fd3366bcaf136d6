package org.bramleyscale.internal.gateway.node;

import java.util.Map;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link PeerSetup}.
 */
class PeerSetupTests {

	private static final int CODE_LIMIT = 10_000;

	/**
	 * Names of metrics end with the name of a message, and a code is never given to
	 * another type, so neither changes when a class is renamed.
	 */
	@Test
	void codesAndNamesOfMessagesStay() {
		MessageCatalog catalog = new PeerSetup(null, null).messages();
		Map<Integer, String> names = new TreeMap<>();
		for (int code = 0; code < CODE_LIMIT; code++) {
			int of = code;
			catalog.type(code).ifPresent((type) -> names.put(of, catalog.name(type)));
		}
		Truth.assertThat(names)
			.containsExactlyEntriesIn(Map.ofEntries(Map.entry(1, "Ping"), Map.entry(2, "Hello"), Map.entry(3, "Proof"),
					Map.entry(10, "Heartbeat"), Map.entry(11, "Entries"), Map.entry(12, "Digests"),
					Map.entry(13, "Summaries"), Map.entry(14, "Wanted"), Map.entry(15, "Inquiry"),
					Map.entry(16, "InquiryResult"), Map.entry(17, "Probe"), Map.entry(18, "ProbeReply"),
					Map.entry(103, "LoadTold"), Map.entry(104, "LoadSummed"), Map.entry(105, "CrashesTold"),
					Map.entry(106, "LimitsTold"), Map.entry(107, "LeavingTold"), Map.entry(108, "UnreachableTold"),
					Map.entry(111, "ConnectionProbed"), Map.entry(112, "ConnectionAccepted"),
					Map.entry(113, "CopiesHeld"), Map.entry(114, "CopiesTold")));
	}

}
