package org.bramleyscale.internal.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link PlatformCodec} with entries that can't be read.
 */
class PlatformCodecTests {

	/** Guards against a list that is lost because of one of its objects. */
	@ParameterizedTest
	@ValueSource(strings = { "{'name':'b&z','version':2,'value':'e30='}", "{'name':'','version':2,'value':'e30='}",
			"{'name':'..','version':2,'value':'e30='}", "{'name':'b','version':2,'value':5}",
			"{'name':'b','version':2,'value':'%'}", "{'name':'b','version':'x','value':'e30='}",
			"{'name':'b','version':2}", "{'version':2,'value':'e30='}", "{'name':[],'version':2,'value':'e30='}",
			"null", "7", "[]", "{}" })
	void objectsBesideOneThatCannotBeReadAreRead(String odd) throws IOException {
		String batch = "{'revision':9,'gap':false,'changed':[" + object("a") + "," + odd + "," + object("c") + "]}";
		WatchBatch read = PlatformCodec.readBatch("lease", json(batch));
		Truth.assertThat(read.changed().stream().map((object) -> object.key().name()).toList())
			.containsExactly("a", "c");
		Truth.assertThat(read.revision()).isEqualTo(9);
	}

	/** Guards against a list of VMs that is lost because of one of them. */
	@ParameterizedTest
	@ValueSource(
			strings = { "{'vm':'b&z','dataCentre':'d'}", "{'vm':'','dataCentre':'d'}", "{'vm':'b'}", "null", "[]" })
	void vmsBesideOneThatCannotBeReadAreRead(String odd) throws IOException {
		List<VmRecord> read = PlatformCodec.readVms(json("[" + vm("a") + "," + odd + "," + vm("c") + "]"));
		Truth.assertThat(read.stream().map((record) -> record.vm().value()).toList()).containsExactly("a", "c");
	}

	private static String object(String name) {
		return "{'name':'" + name + "','version':1,'value':'e30='}";
	}

	private static String vm(String name) {
		return "{'vm':'" + name + "','dataCentre':'d','peerAddress':'h:1','httpAddress':'h:2','leaving':false}";
	}

	private static byte[] json(String text) {
		return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
	}

}
