package org.bramleyscale.internal.configuration.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.bramleyscale.internal.settings.NameSuggestion;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * Reads the fields of one YAML map.
 *
 * <p>
 * Invariant: each read of a field either returns its value or reports a problem and
 * returns null. Not safe for use by multiple threads.
 */
public final class MappingReader {

	private static final String NAME = "name";

	private static final String HIDDEN = "(hidden)";

	private final DocumentReader document;

	private final String path;

	private final int line;

	private final Map<String, Node> fields = new LinkedHashMap<>();

	private boolean valid = true;

	MappingReader(DocumentReader document, String path, MappingNode node) {
		this.document = document;
		this.path = path;
		this.line = line(node);
		document.locate(path, this.line);
		node.getValue().forEach(this::index);
	}

	/**
	 * Whether nothing was wrong so far.
	 * @return false once a problem was reported
	 */
	public boolean valid() {
		return this.valid;
	}

	/**
	 * The entry's name as written.
	 * @return the name, or the path if there is none
	 */
	String name() {
		return (this.fields.get(NAME) instanceof ScalarNode scalar) ? scalar.getValue() : this.path;
	}

	/**
	 * Reports each field that the map may not have.
	 * @param keys the fields that it may have
	 * @return this reader
	 */
	public MappingReader allowOnly(List<String> keys) {
		this.fields.keySet()
			.stream()
			.filter((key) -> !keys.contains(key))
			.forEach((key) -> add(line(this.fields.get(key)), key, shown(key, this.fields.get(key)),
					"a known key" + NameSuggestion.suggestion(key, keys)));
		return this;
	}

	/**
	 * Reads a field that must be there.
	 * @param <T> the type of the value
	 * @param key the field
	 * @param type how it is read
	 * @return the value, or null if a problem was reported
	 */
	public <T> T required(String key, FieldType<T> type) {
		if (!this.fields.containsKey(key)) {
			add(this.line, key, "", type.allowed());
			return null;
		}
		return value(key, this.fields.get(key), type);
	}

	/**
	 * Reads a field that may be missing.
	 * @param <T> the type of the value
	 * @param key the field
	 * @param type how it is read
	 * @param defaultValue the value where it is missing
	 * @return the value, or null if a problem was reported
	 */
	public <T> T optional(String key, FieldType<T> type, T defaultValue) {
		return this.fields.containsKey(key) ? value(key, this.fields.get(key), type) : defaultValue;
	}

	/**
	 * Reads a list of scalars.
	 * @param <T> the type of the values
	 * @param key the field
	 * @param type how each is read
	 * @return the values without problems; none if the field is missing
	 */
	public <T> List<T> list(String key, FieldType<T> type) {
		List<T> values = new ArrayList<>();
		for (Node item : sequence(key)) {
			T value = value(key, item, type);
			if (value != null) {
				values.add(value);
			}
		}
		return values;
	}

	/**
	 * Reads a list of scalars that is left out if it isn't to restrict anything. An empty
	 * one is a problem, since it could be meant to allow nothing.
	 * @param <T> the type of the values
	 * @param key the field
	 * @param type how each is read
	 * @return the values without problems; none if the field is missing
	 */
	public <T> List<T> restriction(String key, FieldType<T> type) {
		if (this.fields.get(key) instanceof SequenceNode sequence && sequence.getValue().isEmpty()) {
			add(line(sequence), key, "[]", "at least one entry; without the field all are meant");
		}
		return list(key, type);
	}

	/**
	 * Reads a list of maps.
	 * @param key the field
	 * @return a reader for each map; none if the field is missing
	 */
	public List<MappingReader> mappings(String key) {
		List<MappingReader> mappings = new ArrayList<>();
		int index = 0;
		for (Node item : sequence(key)) {
			if (item instanceof MappingNode mapping) {
				mappings.add(new MappingReader(this.document, itemPath(key, index, mapping), mapping));
			}
			else {
				add(line(item), key + "[" + index + "]", shown(key, item), "a map of fields");
			}
			index++;
		}
		return mappings;
	}

	private List<Node> sequence(String key) {
		Node node = this.fields.get(key);
		if (node == null) {
			return List.of();
		}
		this.document.locate(fieldPath(key), line(node));
		if (node instanceof SequenceNode sequence) {
			return sequence.getValue();
		}
		add(line(node), key, shown(key, node), "a list");
		return List.of();
	}

	private <T> T value(String key, Node node, FieldType<T> type) {
		this.document.locate(fieldPath(key), line(node));
		if (node instanceof ScalarNode scalar) {
			try {
				return type.parser().apply(scalar.getValue());
			}
			catch (IllegalArgumentException ex) {
				add(line(node), key, shown(key, node), type.allowed());
				return null;
			}
		}
		add(line(node), key, shown(key, node), type.allowed());
		return null;
	}

	private void index(NodeTuple tuple) {
		if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
			add(line(tuple.getKeyNode()), "", "a structure", "a key that is a word");
		}
		else if (this.fields.putIfAbsent(key.getValue(), tuple.getValueNode()) != null) {
			add(line(key), key.getValue(), shown(key.getValue(), tuple.getValueNode()), "a key that is set once");
		}
	}

	private void add(int problemLine, String key, String value, String allowed) {
		this.valid = false;
		this.document.add(problemLine, fieldPath(key), value, allowed);
	}

	private String fieldPath(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private static String itemPath(String key, int index, MappingNode mapping) {
		return mapping.getValue()
			.stream()
			.filter((tuple) -> tuple.getKeyNode() instanceof ScalarNode scalar && NAME.equals(scalar.getValue()))
			.filter((tuple) -> tuple.getValueNode() instanceof ScalarNode)
			.findFirst()
			.map((tuple) -> key + "[" + ((ScalarNode) tuple.getValueNode()).getValue() + "]")
			.orElse(key + "[" + index + "]");
	}

	// An operator who writes an account's key where its hash belongs must not find the
	// key
	// in logs.
	private static String shown(String key, Node node) {
		if (key.toLowerCase(Locale.ROOT).contains("key")) {
			return HIDDEN;
		}
		return (node instanceof ScalarNode scalar) ? scalar.getValue() : "a structure";
	}

	private static int line(Node node) {
		return node.getStartMark().getLine() + 1;
	}

}
