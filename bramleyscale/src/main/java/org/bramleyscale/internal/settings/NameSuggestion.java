package org.bramleyscale.internal.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;

/**
 * Finds the known name that a mistyped one was probably meant to be.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class NameSuggestion {

	private static final int MOST_EDITS = 3;

	private NameSuggestion() {
	}

	/**
	 * A phrase that names the closest known name.
	 * @param given the unknown name
	 * @param known the known names
	 * @return for example {@code ; did you mean 'vm'?}, or nothing if no name is close
	 */
	public static String phrase(String given, Collection<String> known) {
		return known.stream()
			.min(Comparator.comparingInt((name) -> distance(given, name)))
			.filter((name) -> distance(given, name) <= mostEdits(name))
			.map((name) -> "; did you mean '" + name + "'?")
			.orElse("");
	}

	private static int mostEdits(String name) {
		return Math.min(MOST_EDITS, (name.length() + 1) / 2);
	}

	// Levenshtein distance that takes neither case nor separators into account, so that
	// data_centre is as close to dataCentre as it looks.
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
