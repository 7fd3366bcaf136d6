package org.bramleyscale.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.SeedPeer;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.SettingsProblem;
import org.bramleyscale.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link SettingsLoader} and of the definitions in {@link SettingKey}.
 */
class SettingsLoaderTests {

	private static final String HASH = "0123456789abcdef".repeat(4);

	private static final String VALID = """
			vm: entry-1
			dataCentre: rawang
			httpAddress: 127.0.0.1:8080
			peerAddress: 127.0.0.1:9080
			platformUrl: http://127.0.0.1:7000
			operatorKeyHash: %s
			""".formatted(HASH);

	private static final String KEY = "peerKey: abcdefghijklmnop\n";

	private final SettingsLoader loader = new SettingsLoader();

	@Test
	void readsAValidFileAndFillsInDefaults() throws SettingsException {
		Settings settings = this.loader.parse(VALID + KEY
				+ "leaseDuration: 20 s\nlimits:\n  maxBodyBytes: 1MB\nseedPeers: [entry-2/rawang/127.0.0.1:1]\n");
		Truth.assertThat(settings.vm()).isEqualTo(new VmId("entry-1"));
		Truth.assertThat(settings.leaseDuration()).isEqualTo(Duration.ofSeconds(20));
		Truth.assertThat(settings.value(SettingKey.MAX_BODY_BYTES)).isEqualTo(1 << 20);
		Truth.assertThat(settings.value(SettingKey.PLATFORM_CALL_TIMEOUT)).isEqualTo(Duration.ofSeconds(2));
		Truth.assertThat(settings.seedPeers()).containsExactly(SeedPeer.parse("entry-2/rawang/127.0.0.1:1"));
		Truth.assertThat(settings.toString()).doesNotContain("abcdefghijklmnop");
	}

	@Test
	void readKeyAndOpenStatusPageAreOptional() throws SettingsException {
		Settings defaults = this.loader.parse(VALID + KEY);
		Truth.assertThat(defaults.value(SettingKey.OPERATOR_READ_KEY_HASH)).isNull();
		Truth.assertThat(defaults.value(SettingKey.OPEN_STATUS_PAGE)).isFalse();
		Settings configured = this.loader
			.parse(VALID + KEY + "operatorReadKeyHash: " + HASH + "\nopenStatusPage: true\n");
		Truth.assertThat(configured.value(SettingKey.OPERATOR_READ_KEY_HASH)).isEqualTo(HASH);
		Truth.assertThat(configured.value(SettingKey.OPEN_STATUS_PAGE)).isTrue();
	}

	@Test
	void reportsAllErrorsAtOnce() {
		String yaml = VALID.replace("vm: entry-1", "wm: entry-1").replace("8080", "99999")
				+ "peerKey: short-secret\ntimeouts: {conect: 1s, drain: soon}\nlimits.retryBudget: 2\n";
		List<SettingsProblem> problems = problems(yaml);
		Truth.assertThat(problems.stream().map(SettingsProblem::key).toList())
			.containsExactly("wm", "httpAddress", "peerKey", "timeouts.conect", "timeouts.drain", "limits.retryBudget",
					"vm");
		Truth.assertThat(problems.toString()).contains("did you mean 'timeouts.connect'?");
		Truth.assertThat(problems.toString()).doesNotContain("short-secret");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			vm                     | 'a b'
			vm                     | ''
			httpAddress            | 0.0.0.0:80
			httpAddress            | somewhere:80
			peerAddress            | 127.0.0.1
			peerAddress            | 127.0.0.1:8080
			platformUrl            | ftp://127.0.0.1
			platformUrl            | 'http://a b'
			operatorKeyHash        | abc
			operatorReadKeyHash    | abc
			openStatusPage         | 'yes'
			logLevel               | LOUD
			leaseDuration          | 10
			leaseDuration          | 3s
			configurationStaleAfter| 2s
			limits.maxFrameBytes   | 1MB
			limits.maxQueuedBytes  | 99999999999MB
			limits.maxRequests     | many
			limits.retryBudget     | NaN
			""")
	void rejectsAnInvalidValue(String key, String value) {
		String line = key + ": '" + value + "'\n";
		String yaml = (VALID + KEY).replaceAll("(?m)^" + key + ":.*\n", "") + line;
		List<SettingsProblem> problems = problems(yaml);
		Truth.assertThat(problems).hasSize(1);
		Truth.assertThat(problems.get(0).key()).isEqualTo(key);
		Truth.assertThat(problems.get(0).allowed()).isNotEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			'a: 1\na: 2' | line 2
			'a: ['       | line 1
			'- a'        | document
			''           | document
			""")
	void rejectsAMalformedDocument(String yaml, String key) {
		Truth.assertThat(problems(yaml.replace("\\n", "\n")).get(0).key()).isEqualTo(key);
	}

	@Test
	void readsThePeerKeyFromItsFile(@TempDir Path directory) throws IOException, SettingsException {
		Path file = Files.writeString(directory.resolve("key"), "abcdefghijklmnopq\n");
		Truth.assertThat(this.loader.parse(VALID + "peerKeyFile: " + file).peerKey()).isEqualTo("abcdefghijklmnopq");
		Truth.assertThat(problems(VALID + KEY + "peerKeyFile: " + file).get(0).key()).isEqualTo("peerKeyFile");
		Truth.assertThat(problems(VALID + "peerKeyFile: " + directory.resolve("none")).get(0).key())
			.isEqualTo("peerKeyFile");
	}

	@Test
	void defaultsAreValidAndKeysAreDocumented() {
		for (SettingKey<?> key : SettingKey.all()) {
			key.defaultText().filter((text) -> !text.isEmpty()).ifPresent(key::parse);
			Truth.assertThat(key.description()).isNotEmpty();
			Truth.assertThat(key.allowed()).isNotEmpty();
		}
	}

	private List<SettingsProblem> problems(String yaml) {
		try {
			this.loader.parse(yaml);
		}
		catch (SettingsException ex) {
			return ex.problems();
		}
		throw new AssertionError("invalid settings were accepted: " + yaml);
	}

}
