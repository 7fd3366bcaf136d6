package org.bramleyscale.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.google.common.hash.Hashing;
import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Settings;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationChecks;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.document.RegisterDocument;
import org.bramleyscale.internal.configuration.document.RulesDocument;
import org.bramleyscale.internal.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the pages and the examples say what the code does.
 */
class DocumentationTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)(?:#[^)]*)?\\)");

	private final String userGuide = read("docs/USER_GUIDE.md");

	@ParameterizedTest
	@EnumSource
	void userGuideNamesEachErrorCodeWithItsStatus(ErrorCode code) {
		Truth.assertThat(this.userGuide).contains("| `" + code + "` | " + code.httpStatus() + " |");
	}

	@ParameterizedTest
	@EnumSource
	void userGuideNamesEachExitStatus(ExitCode code) {
		Truth.assertThat(this.userGuide).contains("\n| " + code.status() + " | ");
	}

	@ParameterizedTest
	@MethodSource("commands")
	void userGuideNamesEachCommand(String command) {
		Truth.assertThat(this.userGuide).containsMatch("\\| `" + command + "\\b");
	}

	static Stream<String> commands() {
		return ServiceLoader.load(Subcommand.class).stream().map((provider) -> provider.get().name());
	}

	@Test
	void userGuideHasTheTableOfSettings() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		List<Subcommand> subcommands = ServiceLoader.load(Subcommand.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.toList();
		new CommandLine(subcommands).run(new String[] { "settings", "list" },
				new PrintStream(out, true, StandardCharsets.UTF_8), System.err);
		Truth.assertThat(this.userGuide).contains(out.toString(StandardCharsets.UTF_8));
	}

	@ParameterizedTest
	@ValueSource(strings = { "README.md", "docs/USER_GUIDE.md", "docs/OPERATIONS.md", "docs/TROUBLESHOOTING.md",
			"docs/GLOSSARY.md" })
	void linksLeadToFiles(String page) {
		Matcher matcher = LINK.matcher(read(page));
		while (matcher.find()) {
			Path target = ROOT.resolve(page).resolveSibling(matcher.group(1));
			Truth.assertWithMessage("%s links to %s", page, target).that(Files.exists(target)).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "entry-1", "entry-2", "entry-3" })
	void exampleSettingsAreValid(String vm) throws Exception {
		String yaml = read("examples/settings/" + vm + ".yaml").replace("examples/keys", ROOT + "/examples/keys");
		Settings settings = new SettingsLoader().parse(yaml);
		Truth.assertThat(settings.vm().value()).isEqualTo(vm);
		Truth.assertThat(settings.operatorKeyHash()).isEqualTo(hashOfKey("operator"));
	}

	@Test
	void exampleRegisterAndRulesAreValidAndFitTheKeys() throws Exception {
		Register register = RegisterDocument.parse(read("examples/register.yaml"));
		Rules rules = RulesDocument.parse(read("examples/rules.yaml"));
		Truth.assertThat(ConfigurationChecks.problems(register, rules)).isEmpty();
		for (AccountRule account : rules.accounts()) {
			Truth.assertThat(account.keyHash()).isEqualTo(hashOfKey(account.name().value()));
		}
	}

	private static String hashOfKey(String name) {
		return Hashing.sha256()
			.hashString(read("examples/keys/" + name + ".key").strip(), StandardCharsets.UTF_8)
			.toString();
	}

	private static String read(String path) {
		try {
			return Files.readString(ROOT.resolve(path));
		}
		catch (IOException ex) {
			throw new IllegalStateException(path, ex);
		}
	}

}
