package standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (Map<String, Object>) value;
	}

	static Map<String, Object> object(Object... fields) {
		Map<String, Object> result = new LinkedHashMap<>();
		for (int i = 0; i < fields.length; i += 2) {
			result.put((String) fields[i], fields[i + 1]);
		}
		return result;
	}

	static String write(Object value) {
		if (value instanceof Map<?, ?> map) {
			StringBuilder out = new StringBuilder("{");
			map.forEach((key, field) -> out.append(out.length() > 1 ? "," : "")
				.append(write(key.toString()))
				.append(':')
				.append(write(field)));
			return out.append('}').toString();
		}
		if (value instanceof List<?> list) {
			StringBuilder out = new StringBuilder("[");
			list.forEach((item) -> out.append(out.length() > 1 ? "," : "").append(write(item)));
			return out.append(']').toString();
		}
		if (value instanceof String string) {
			return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
		}
		return String.valueOf(value);
	}

	private Object value() {
		skip();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			return object();
		}
		if (c == '[') {
			return list();
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \t\r\n".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
		};
	}

	private Object object() {
		Map<String, Object> result = new LinkedHashMap<>();
		this.at++;
		for (skip(); this.text.charAt(this.at) != '}'; skip()) {
			String name = string();
			skip();
			this.at++;
			result.put(name, value());
			skip();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
		}
		this.at++;
		return result;
	}

	private Object list() {
		List<Object> result = new ArrayList<>();
		this.at++;
		for (skip(); this.text.charAt(this.at) != ']'; skip()) {
			result.add(value());
			skip();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
		}
		this.at++;
		return result;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		for (this.at++; this.text.charAt(this.at) != '"'; this.at++) {
			char c = this.text.charAt(this.at);
			if (c == '\\') {
				c = this.text.charAt(++this.at);
				if (c == 'u') {
					c = (char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16);
					this.at += 4;
				}
				else if (c == 'n' || c == 't' || c == 'r') {
					c = (c == 'n') ? '\n' : (c == 't') ? '\t' : '\r';
				}
			}
			out.append(c);
		}
		this.at++;
		return out.toString();
	}

	private void skip() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

}
