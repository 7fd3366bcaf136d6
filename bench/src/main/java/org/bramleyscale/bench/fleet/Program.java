package org.bramleyscale.bench.fleet;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.bramleyscale.daemon.Main;

/**
 * One program of the product in a process of its own.
 *
 * <p>
 * Used by one thread.
 */
final class Program implements AutoCloseable {

	private static final Duration LONGEST_START = Duration.ofSeconds(90);

	private static final Duration POLL = Duration.ofMillis(50);

	private static final String TOTAL = "Total";

	private final String name;

	private final int port;

	private final Process process;

	private Program(String name, int port, Process process) {
		this.name = name;
		this.port = port;
		this.process = process;
	}

	/**
	 * Starts a program on this process's class path.
	 * @param directory takes its output
	 * @param name its name
	 * @param port the port on which it will listen
	 * @param heap its largest heap, such as {@code 128m}
	 * @param arguments its command line
	 * @return the program, which may not listen yet
	 * @throws IOException if it can't be started
	 */
	static Program start(Path directory, String name, int port, String heap, List<String> arguments)
			throws IOException {
		List<String> command = new ArrayList<>(List.of(tool("java"), "-Xmx" + heap, "-cp",
				System.getProperty("java.class.path"), Main.class.getName()));
		command.addAll(arguments);
		File output = directory.resolve(name + ".log").toFile();
		Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
		Program program = new Program(name, port, process);
		Runtime.getRuntime().addShutdownHook(new Thread(program::close, "end-of-" + name));
		return program;
	}

	void awaitListening() throws IOException {
		long end = System.nanoTime() + LONGEST_START.toNanos();
		while (!listens()) {
			if (!this.process.isAlive() || System.nanoTime() - end > 0) {
				throw new IOException(this.name + " does not listen on port " + this.port);
			}
			LockSupport.parkNanos(POLL.toNanos());
		}
	}

	void kill() {
		this.process.destroyForcibly();
	}

	/**
	 * Stops the process where it is; its connections stay open and say nothing.
	 */
	void pause() throws IOException {
		signal("-STOP");
	}

	void resume() throws IOException {
		signal("-CONT");
	}

	/**
	 * The bytes of live objects, after a full collection.
	 * @return the bytes
	 */
	long liveBytes() throws IOException {
		String histogram = run(tool("jcmd"), pid(), "GC.class_histogram");
		String total = histogram.lines().filter((line) -> line.startsWith(TOTAL)).findFirst().orElseThrow();
		return Long.parseLong(total.strip().split("\\s+")[2]);
	}

	Duration processorTime() {
		return this.process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

	private void signal(String signal) throws IOException {
		run("kill", signal, pid());
	}

	private String pid() {
		return Long.toString(this.process.pid());
	}

	private boolean listens() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.port));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static String run(String... command) throws IOException {
		Process tool = new ProcessBuilder(command).redirectErrorStream(true).start();
		String output = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		try {
			if (tool.waitFor() != 0) {
				throw new IOException(String.join(" ", command) + " failed: " + output);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		return output;
	}

	private static String tool(String name) {
		return Path.of(System.getProperty("java.home"), "bin", name).toString();
	}

}
