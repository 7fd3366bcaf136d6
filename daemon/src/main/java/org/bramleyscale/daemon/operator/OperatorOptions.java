package org.bramleyscale.daemon.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;

/**
 * The arguments that all commands towards daemons share.
 *
 * <p>
 * An argument goes before the environment variable of the same meaning. Immutable and
 * safe for use by multiple threads.
 */
public final class OperatorOptions {

	/** Names daemons, separated by commas. */
	public static final String DAEMON_VARIABLE = "BRAMLEYSCALE_DAEMON";

	/** Names the file with the operator's key. */
	public static final String KEY_FILE_VARIABLE = "BRAMLEYSCALE_OPERATOR_KEY_FILE";

	/** Holds the operator's key itself. */
	public static final String KEY_VARIABLE = "BRAMLEYSCALE_OPERATOR_KEY";

	private static final String DAEMON = "daemon";

	private static final String KEY_FILE = "operator_key_file";

	private static final String TIMEOUT = "timeout";

	private static final String JSON = "json";

	private static final int DEFAULT_TIMEOUT_SECONDS = 20;

	private final Namespace arguments;

	private final Map<String, String> environment;

	public OperatorOptions(Namespace arguments, Map<String, String> environment) {
		this.arguments = arguments;
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Declares the arguments.
	 * @param parser the parser of a command
	 */
	public static void addTo(ArgumentParser parser) {
		parser.addArgument("--daemon")
			.action(Arguments.append())
			.metavar("HOST:PORT")
			.help("a daemon to ask; may be repeated, the next is asked when one doesn't answer (else " + DAEMON_VARIABLE
					+ ")");
		parser.addArgument("--operator-key-file")
			.metavar("FILE")
			.help("file that holds the operator's key (else " + KEY_FILE_VARIABLE + " or " + KEY_VARIABLE + ")");
		parser.addArgument("--timeout")
			.type(Integer.class)
			.choices(Arguments.range(1, 600))
			.setDefault(DEFAULT_TIMEOUT_SECONDS)
			.metavar("SECONDS")
			.help("how long one daemon may take to answer");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON for machines");
	}

	public boolean json() {
		return Boolean.TRUE.equals(this.arguments.getBoolean(JSON));
	}

	public Duration timeout() {
		return Duration.ofSeconds(this.arguments.getInt(TIMEOUT));
	}

	/**
	 * The daemons to ask.
	 * @return {@code host:port} of each
	 * @throws CommandException if none is named or one is no address
	 */
	public List<String> addresses() throws CommandException {
		List<String> given = this.arguments.getList(DAEMON);
		if (given == null) {
			given = Splitter.on(',')
				.trimResults()
				.omitEmptyStrings()
				.splitToList(this.environment.getOrDefault(DAEMON_VARIABLE, ""));
		}
		if (given.isEmpty()) {
			throw new CommandException(ExitCode.BAD_USAGE,
					"name a daemon by --daemon HOST:PORT or by " + DAEMON_VARIABLE);
		}
		for (String address : given) {
			requireAddress(address);
		}
		return given;
	}

	/**
	 * The operator's key.
	 * @return the key; empty if none is given
	 * @throws CommandException if the file that should hold it can't be read
	 */
	public String key() throws CommandException {
		String file = this.arguments.getString(KEY_FILE);
		if (file == null) {
			file = this.environment.get(KEY_FILE_VARIABLE);
		}
		return (file != null) ? readKey(file) : this.environment.getOrDefault(KEY_VARIABLE, "");
	}

	/**
	 * Opens a client of the daemons.
	 * @return the client
	 * @throws CommandException if the arguments are not valid
	 */
	public DaemonClient client() throws CommandException {
		return new DaemonClient(addresses(), key(), timeout());
	}

	/**
	 * Reads a key from a file.
	 * @param file the file
	 * @return the key without white space around it
	 * @throws CommandException if the file can't be read
	 */
	public static String readKey(String file) throws CommandException {
		try {
			return Files.readString(Path.of(file)).strip();
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.BAD_USAGE, "key file '" + file + "' can't be read: " + ex, ex);
		}
	}

	/**
	 * Checks an address.
	 * @param address what was given
	 * @throws CommandException if it is not {@code host:port}
	 */
	public static void requireAddress(String address) throws CommandException {
		boolean valid;
		try {
			valid = HostAndPort.fromString(address).hasPort();
		}
		catch (IllegalArgumentException ex) {
			valid = false;
		}
		if (!valid) {
			throw new CommandException(ExitCode.BAD_USAGE, "'" + address + "' is not HOST:PORT");
		}
	}

}
