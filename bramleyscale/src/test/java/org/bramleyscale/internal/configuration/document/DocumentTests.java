package org.bramleyscale.internal.configuration.document;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.ConfigurationChecks;
import org.bramleyscale.internal.configuration.ConfigurationProblem;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of register and rules as YAML documents.
 */
class DocumentTests {

	private static final String HASH = "0123456789abcdef".repeat(4);

	private static final String REGISTER = """
			vms:
			  - {name: entry-1, dataCentre: rawang}
			models:
			  - name: crusher-12b
			    contextTokens: 1048576
			services:
			  - {name: hire-assistant, kind: model, timeout: 30s}
			  - {name: bookings, kind: plain}
			endpoints:
			  - name: runner-1
			    service: hire-assistant
			    dataCentre: rawang
			    address: 10.0.0.1:8000
			    models: [crusher-12b]
			    checksFencing: true
			  - {name: booker-1, service: bookings, dataCentre: semenyih, address: '10.0.0.2:8000'}
			""";

	private static final String RULES = """
			urgent: [hire-assistant]
			accounts:
			  - name: foremen
			    keyHash: %s
			    tokensPerSecond: 5000
			    services: [hire-assistant]
			""".formatted(HASH);

	@Test
	void readsTheRegister() throws InvalidConfigurationException {
		Register register = RegisterDocument.parse(REGISTER);
		ServiceEntry hire = register.services().get(0);
		Truth.assertThat(hire.timeout()).isEqualTo(Duration.ofSeconds(30));
		Truth.assertThat(hire.repeatable()).isTrue();
		Truth.assertThat(register.services().get(1).repeatable()).isFalse();
		Truth.assertThat(register.endpoints().get(0).models()).containsExactly(new ModelName("crusher-12b"));
		Truth.assertThat(register.endpoints().get(1).checksFencing()).isFalse();
	}

	@Test
	void readsBackWhatItWrites() throws InvalidConfigurationException {
		Register register = RegisterDocument.parse(REGISTER);
		Rules rules = RulesDocument.parse(RULES);
		Truth.assertThat(RegisterDocument.parse(RegisterDocument.format(register))).isEqualTo(register);
		Truth.assertThat(RulesDocument.parse(RulesDocument.format(rules))).isEqualTo(rules);
		Truth.assertThat(rules.urgent()).containsExactly(new ServiceName("hire-assistant"));
		Truth.assertThat(ConfigurationChecks.problems(register, rules)).isEmpty();
	}

	@Test
	void reportsAllProblemsOfADocumentAtOnce() {
		String yaml = REGISTER.replace("kind: model", "kind: motel")
			.replace("1048576", "0")
			.replace("address:", "adress:");
		Truth.assertThat(problems(yaml, true).stream().map(ConfigurationProblem::key))
			.containsExactly("services[hire-assistant].kind", "endpoints[runner-1].adress",
					"endpoints[runner-1].address", "endpoints[booker-1].adress", "endpoints[booker-1].address",
					"models[crusher-12b].contextTokens");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			service: bookings     | service: parking          | endpoints[booker-1].service     | 16
			models: [crusher-12b] | models: [other]           | endpoints[runner-1].models      | 14
			models: [crusher-12b] | models: []                | endpoints[runner-1].models      | 14
			booker-1              | runner-1                  | endpoints[runner-1]             | 10
			checksFencing: true   | checksFencing: yes        | endpoints[runner-1].checksFencing | 15
			1048576               | a lot                     | models[crusher-12b].contextTokens | 5
			timeout: 30s          | timeout: 30               | services[hire-assistant].timeout | 7
			timeout: 30s          | timeout: 1ms              | services[hire-assistant].timeout | 7
			10.0.0.1:8000         | 10.0.0.1                  | endpoints[runner-1].address     | 13
			vms:                  | wms:                      | wms                             | 2
			name: entry-1         | name: entry 1             | vms[entry 1].name               | 2
			dataCentre: rawang}   | name: twice}              | vms[entry-1].name               | 2
			dataCentre: rawang}   | dataCentre: [a]}          | vms[entry-1].dataCentre         | 2
			""")
	void refusesARegister(String from, String to, String key, int line) {
		ConfigurationProblem problem = problems(REGISTER.replace(from, to), true).get(0);
		Truth.assertThat(problem.key()).isEqualTo(key);
		Truth.assertThat(problem.line()).isEqualTo(line);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			0123                   | a-key-in-the-clear-       | accounts[foremen].keyHash         | 4
			keyHash:               | key:                      | accounts[foremen].key             | 4
			tokensPerSecond: 5000  | tokensPerSecond: 0        | accounts[foremen].tokensPerSecond | 5
			tokensPerSecond: 5000  | weight: 0                 | accounts[foremen].tokensPerSecond | 3
			services:              | entries: 99               | accounts[foremen].entries         | 6
			[hire-assistant]       | hire-assistant            | urgent                            | 1
			services: [hire-assistant] | services: []          | accounts[foremen].services        | 6
			services: [hire-assistant] | services:             | accounts[foremen].services        | 6
			""")
	void refusesRules(String from, String to, String key, int line) {
		String yaml = RULES.replace("entries: 99 [hire-assistant]", "entries: 99").replace(from, to);
		List<ConfigurationProblem> problems = problems(yaml.replaceAll("entries: 99 .*", "entries: 99"), false);
		Truth.assertThat(problems.get(0).key()).isEqualTo(key);
		Truth.assertThat(problems.get(0).line()).isEqualTo(line);
		Truth.assertThat(problems.toString()).doesNotContain("a-key-in-the-clear");
	}

	/** Guards against an account that may use all services once its last one is gone. */
	@Test
	void anAccountMayUseAllServicesOnlyIfItHasNoListOfThem() throws InvalidConfigurationException {
		Rules rules = RulesDocument.parse(RULES.replace("    services: [hire-assistant]\n", ""));
		Truth.assertThat(rules.accounts().get(0).mayUse(new ServiceName("bookings"))).isTrue();
		String written = RulesDocument.format(rules);
		Truth.assertThat(written).doesNotContain("services");
		Truth.assertThat(RulesDocument.parse(written)).isEqualTo(rules);
		Truth.assertThat(problems(RULES.replace("services: [hire-assistant]", "services: []"), false).get(0).allowed())
			.isEqualTo("at least one entry; without the field all are meant");
	}

	@Test
	void refusesTwoAccountsWithOneKey() {
		String second = "  - {name: drivers, keyHash: %s, tokensPerSecond: 1}\n".formatted(HASH);
		ConfigurationProblem problem = problems(RULES + second, false).get(0);
		Truth.assertThat(problem.key()).isEqualTo("accounts[drivers].keyHash");
		Truth.assertThat(problem.allowed()).contains("foremen");
	}

	@Test
	void refusesRulesThatNameServicesTheRegisterDoesNotHave() throws InvalidConfigurationException {
		Rules rules = RulesDocument.parse(RULES);
		Truth.assertThat(ConfigurationChecks.problems(Register.EMPTY, rules).stream().map(ConfigurationProblem::key))
			.containsExactly("urgent", "accounts[foremen].services");
	}

	@ParameterizedTest
	@CsvSource({ "'vms: ['", "'- a'", "''", "'a: &a [*a]'" })
	void refusesABrokenDocument(String yaml) {
		Truth.assertThat(problems(yaml, true)).isNotEmpty();
	}

	private static List<ConfigurationProblem> problems(String yaml, boolean register) {
		try {
			Object parsed = register ? RegisterDocument.parse(yaml) : RulesDocument.parse(yaml);
			throw new AssertionError("accepted: " + parsed);
		}
		catch (InvalidConfigurationException ex) {
			return ex.problems();
		}
	}

}
