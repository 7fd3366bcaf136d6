package org.bramleyscale.daemon.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;

/**
 * A register or rules document in a file, with the version from which it was made.
 *
 * <p>
 * {@code show} writes the version into a comment in the first line, so that a file that
 * was shown, edited and applied carries its base version along. Immutable and safe for
 * use by multiple threads.
 *
 * @param baseVersion the version in the first line, or empty if there is none
 * @param yaml the document without that line
 */
public record DocumentFile(OptionalLong baseVersion, String yaml) {

	private static final Pattern FIRST_LINE = Pattern.compile("# version: (\\d{1,18})\\s*");

	/**
	 * Reads a file.
	 * @param file the file
	 * @return its content
	 * @throws CommandException if it can't be read
	 */
	public static DocumentFile read(String file) throws CommandException {
		try {
			return parse(Files.readString(Path.of(file)));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.BAD_USAGE, "'" + file + "' can't be read: " + ex, ex);
		}
	}

	/**
	 * Reads a file's text.
	 * @param text the text
	 * @return its content
	 */
	public static DocumentFile parse(String text) {
		int end = text.indexOf('\n');
		String firstLine = (end < 0) ? text : text.substring(0, end);
		Matcher matcher = FIRST_LINE.matcher(firstLine);
		if (!matcher.matches()) {
			return new DocumentFile(OptionalLong.empty(), text);
		}
		return new DocumentFile(OptionalLong.of(Long.parseLong(matcher.group(1))),
				(end < 0) ? "" : text.substring(end + 1));
	}

	/**
	 * Writes the file's text.
	 * @param version the version of the document
	 * @param yaml the document
	 * @return the text
	 */
	public static String format(long version, String yaml) {
		return "# version: " + version + "\n" + yaml;
	}

}
