package org.bramleyscale.internal.configuration.document;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.bramleyscale.internal.configuration.ConfigurationProblem;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads one document and collects everything that is wrong with it.
 *
 * <p>
 * It works on YAML nodes rather than on bound objects, because binding stops at the first
 * error and forgets line numbers. Not safe for use by multiple threads.
 */
public final class DocumentReader {

	private static final int LARGEST_DOCUMENT = 32 * 1024 * 1024;

	private static final int DEEPEST_NESTING = 10;

	private final List<ConfigurationProblem> problems = new ArrayList<>();

	private final Map<String, Integer> lines = new HashMap<>();

	private final Set<String> rejectedNames = new HashSet<>();

	private final MappingReader root;

	/**
	 * Begins to read a document.
	 * @param yaml its text
	 * @param sections the keys that it may have
	 * @throws InvalidConfigurationException if it is no YAML map
	 */
	public DocumentReader(String yaml, List<String> sections) throws InvalidConfigurationException {
		this.root = new MappingReader(this, "", compose(yaml));
		this.root.allowOnly(sections);
	}

	public MappingReader root() {
		return this.root;
	}

	/**
	 * Reads the entries of a section.
	 * @param <E> the type of the entries
	 * @param section the key of the section
	 * @param constructor reads one entry; only called where all fields can be read
	 * @return the entries without problems
	 */
	public <E> List<E> entries(String section, Function<MappingReader, E> constructor) {
		List<E> entries = new ArrayList<>();
		for (MappingReader mapping : this.root.mappings(section)) {
			E entry = constructor.apply(mapping);
			if (mapping.valid()) {
				entries.add(entry);
			}
			else {
				this.rejectedNames.add(mapping.name());
			}
		}
		return entries;
	}

	void add(int line, String path, String value, String allowed) {
		this.problems.add(new ConfigurationProblem(line, path, value, allowed));
	}

	void locate(String path, int line) {
		this.lines.putIfAbsent(path, line);
	}

	/**
	 * Ends the reading.
	 * @param checks problems of the document as a whole
	 * @throws InvalidConfigurationException if anything is wrong
	 */
	public void finish(List<ConfigurationProblem> checks) throws InvalidConfigurationException {
		// An entry that is broken in itself is missing from the whole; what refers to it
		// isn't wrong for that.
		checks.stream()
			.filter((problem) -> !this.rejectedNames.contains(problem.value()))
			.map((problem) -> problem.at(line(problem.key())))
			.forEach(this.problems::add);
		if (!this.problems.isEmpty()) {
			throw new InvalidConfigurationException(this.problems);
		}
	}

	private int line(String path) {
		Integer line = this.lines.get(path);
		if (line == null) {
			int end = path.lastIndexOf(']');
			line = this.lines.getOrDefault(path.substring(0, end + 1), ConfigurationProblem.NO_LINE);
		}
		return line;
	}

	private static MappingNode compose(String yaml) throws InvalidConfigurationException {
		LoaderOptions options = new LoaderOptions();
		options.setCodePointLimit(LARGEST_DOCUMENT);
		options.setNestingDepthLimit(DEEPEST_NESTING);
		try {
			Node node = new Yaml(options).compose(new StringReader(yaml));
			if (node instanceof MappingNode mapping) {
				return mapping;
			}
			throw failure(1, "", "a YAML map");
		}
		catch (MarkedYAMLException ex) {
			int line = (ex.getProblemMark() != null) ? ex.getProblemMark().getLine() + 1 : 1;
			throw failure(line, ex.getProblem(), "a YAML document");
		}
		catch (YAMLException ex) {
			throw failure(ConfigurationProblem.NO_LINE, ex.getMessage(),
					"one YAML document of at most " + LARGEST_DOCUMENT + " characters");
		}
	}

	private static InvalidConfigurationException failure(int line, String value, String allowed) {
		return new InvalidConfigurationException(
				List.of(new ConfigurationProblem(line, "document", String.valueOf(value), allowed)));
	}

}
