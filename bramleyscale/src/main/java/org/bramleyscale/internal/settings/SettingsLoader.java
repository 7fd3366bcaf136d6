package org.bramleyscale.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.SettingsProblem;

/**
 * Loads settings from YAML and reports all problems of a document at once.
 *
 * <p>
 * Safe for use by multiple threads. <pre>
 * Settings settings = new SettingsLoader().load(Path.of("entry-1.yaml"));
 * </pre>
 */
public final class SettingsLoader {

	private static final String HIDDEN = "(hidden)";

	private static final Map<String, SettingKey<?>> KEYS = SettingKey.all()
		.stream()
		.collect(Collectors.toMap(SettingKey::name, Function.identity(), (first, second) -> first, LinkedHashMap::new));

	private final ObjectReader reader = YAMLMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build()
		.reader();

	/**
	 * Loads settings from a file.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException if the settings are invalid, with all problems
	 */
	public Settings load(Path file) throws SettingsException {
		return parse(read(file, "settings file"));
	}

	/**
	 * Loads settings from a document.
	 * @param yaml the YAML document
	 * @return the settings
	 * @throws SettingsException if the settings are invalid, with all problems
	 */
	public Settings parse(String yaml) throws SettingsException {
		List<SettingsProblem> problems = new ArrayList<>();
		Settings.Builder builder = Settings.builder();
		Map<String, String> values = flatten(readTree(yaml), problems);
		values.forEach((name, text) -> set(builder, name, text, problems));
		readKeyFile(builder, values, problems);
		builder.problems().stream().filter((problem) -> !reported(problem.key(), problems)).forEach(problems::add);
		if (!problems.isEmpty()) {
			throw new SettingsException(problems);
		}
		return builder.build();
	}

	private JsonNode readTree(String yaml) throws SettingsException {
		try {
			JsonNode root = this.reader.readTree(yaml);
			if (root.isObject()) {
				return root;
			}
			throw failure("document", "", "a YAML map of settings");
		}
		catch (JsonProcessingException ex) {
			String line = Optional.ofNullable(ex.getLocation())
				.map((location) -> "line " + location.getLineNr())
				.orElse("document");
			throw failure(line, ex.getOriginalMessage().lines().findFirst().orElse(""),
					"a YAML document in which each key is set once");
		}
	}

	private static Map<String, String> flatten(JsonNode root, List<SettingsProblem> problems) {
		Map<String, String> values = new LinkedHashMap<>();
		root.fields().forEachRemaining((field) -> flatten(field.getKey(), field.getValue(), values, problems));
		return values;
	}

	private static void flatten(String name, JsonNode node, Map<String, String> values,
			List<SettingsProblem> problems) {
		if (node.isObject()) {
			node.fields()
				.forEachRemaining((field) -> flatten(name + "." + field.getKey(), field.getValue(), values, problems));
		}
		else if (node.isArray()) {
			List<String> items = new ArrayList<>();
			node.forEach((item) -> items.add(item.asText()));
			values.put(name, String.join(",", items));
		}
		else {
			values.put(name, node.isNull() ? "" : node.asText());
		}
	}

	private static void set(Settings.Builder builder, String name, String text, List<SettingsProblem> problems) {
		SettingKey<?> key = KEYS.get(name);
		if (key == null) {
			problems
				.add(new SettingsProblem(name, text, "a known key" + NameSuggestion.suggestion(name, KEYS.keySet())));
			return;
		}
		try {
			builder.setText(key, text);
		}
		catch (IllegalArgumentException ex) {
			problems.add(new SettingsProblem(name, key.secret() ? HIDDEN : text, key.allowed()));
		}
	}

	private void readKeyFile(Settings.Builder builder, Map<String, String> values, List<SettingsProblem> problems) {
		String file = values.get(SettingKey.PEER_KEY_FILE.name());
		if (file == null || reported(SettingKey.PEER_KEY_FILE.name(), problems)) {
			return;
		}
		if (values.containsKey(SettingKey.PEER_KEY.name())) {
			problems
				.add(new SettingsProblem(SettingKey.PEER_KEY_FILE.name(), file, "either this or peerKey, not both"));
			return;
		}
		try {
			set(builder, SettingKey.PEER_KEY.name(), read(Path.of(file), SettingKey.PEER_KEY_FILE.name()).strip(),
					problems);
		}
		catch (SettingsException ex) {
			problems.addAll(ex.problems());
			problems.add(new SettingsProblem(SettingKey.PEER_KEY.name(), "", SettingKey.PEER_KEY.allowed()));
		}
		catch (InvalidPathException ex) {
			problems
				.add(new SettingsProblem(SettingKey.PEER_KEY_FILE.name(), file, SettingKey.PEER_KEY_FILE.allowed()));
		}
	}

	private static String read(Path file, String key) throws SettingsException {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw failure(key, file.toString(), "the path of a readable file");
		}
	}

	private static boolean reported(String key, List<SettingsProblem> problems) {
		return problems.stream().anyMatch((problem) -> problem.key().equals(key));
	}

	private static SettingsException failure(String key, String value, String allowed) {
		return new SettingsException(List.of(new SettingsProblem(key, value, allowed)));
	}

}
