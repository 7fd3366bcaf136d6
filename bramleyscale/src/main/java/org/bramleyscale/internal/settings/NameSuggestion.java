package org.bramleyscale.internal.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;

/**
 * Suggests the known name that is closest to an unknown one.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class NameSuggestion {

	private static final int MAX_EDITS = 3;

	private NameSuggestion() {
	}

	/**
	 * Returns a suggestion of the closest known name, to append to a message.
	 * @param given the unknown name
	 * @param known the known names
	 * @return for example {@code ; did you mean 'vm'?}, or an empty string if no name is
	 * close enough
	 */
	public static String suggestion(String given, Collection<String> known) {
		return known.stream()
			.min(Comparator.comparingInt((name) -> distance(given, name)))
			.filter((name) -> distance(given, name) <= maxEdits(name))
			.map((name) -> "; did you mean '" + name + "'?")
			.orElse("");
	}

	private static int maxEdits(String name) {
		return Math.min(MAX_EDITS, (name.length() + 1) / 2);
	}

	// Levenshtein distance that ignores case and separators, so that data_centre and
	// dataCentre have distance 0.
	private static int distance(String given, String known) {
		String left = normalize(given);
		String right = normalize(known);
		int[] row = new int[right.length() + 1];
		for (int column = 0; column <= right.length(); column++) {
			row[column] = column;
		}
		for (int line = 1; line <= left.length(); line++) {
			int diagonal = row[0];
			row[0] = line;
			for (int column = 1; column <= right.length(); column++) {
				int cost = (left.charAt(line - 1) == right.charAt(column - 1)) ? 0 : 1;
				int substituted = diagonal + cost;
				diagonal = row[column];
				row[column] = Math.min(substituted, 1 + Math.min(row[column], row[column - 1]));
			}
		}
		return row[right.length()];
	}

	private static String normalize(String name) {
		return name.toLowerCase(Locale.ROOT).replaceAll("[_-]", "");
	}

}
