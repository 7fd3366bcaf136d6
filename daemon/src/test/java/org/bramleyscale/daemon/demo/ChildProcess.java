package org.bramleyscale.daemon.demo;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bramleyscale.daemon.Main;

/**
 * One program of the product in a process of its own.
 */
final class ChildProcess implements AutoCloseable {

	private static final long PATIENCE_SECONDS = 60;

	private final Process process;

	private final CompletableFuture<String> ready = new CompletableFuture<>();

	private final List<String> lines = new ArrayList<>();

	/**
	 * Starts a program.
	 * @param directory the working directory
	 * @param readyText what its output contains once it listens
	 * @param arguments the command line
	 */
	ChildProcess(Path directory, String readyText, String... arguments) throws IOException {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx128m",
				"-XX:TieredStopAtLevel=1", "-cp", absolute(classPath), Main.class.getName()));
		command.addAll(List.of(arguments));
		this.process = new ProcessBuilder(command).directory(directory.toFile()).redirectErrorStream(true).start();
		Thread reader = new Thread(() -> read(readyText), "output-of-" + arguments[0]);
		reader.setDaemon(true);
		reader.start();
	}

	ChildProcess awaitReady() throws Exception {
		this.ready.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
		return this;
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	/**
	 * Asks for a planned stop and waits for the end.
	 * @return the exit status
	 */
	int stop() throws InterruptedException {
		this.process.destroy();
		if (!this.process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
			throw new IllegalStateException("still running: " + output());
		}
		return this.process.exitValue();
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

	private synchronized String output() {
		return String.join("\n", this.lines);
	}

	private synchronized void keep(String line) {
		this.lines.add(line);
	}

	private void read(String readyText) {
		try (BufferedReader reader = this.process.inputReader(StandardCharsets.UTF_8)) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				keep(line);
				if (line.contains(readyText)) {
					this.ready.complete(line);
				}
			}
			this.ready.completeExceptionally(new IllegalStateException("ended: " + output()));
		}
		catch (IOException ex) {
			this.ready.completeExceptionally(ex);
		}
	}

	private static String absolute(String classPath) {
		List<String> parts = new ArrayList<>();
		for (String part : classPath.split(File.pathSeparator)) {
			parts.add(Path.of(part).toAbsolutePath().toString());
		}
		return String.join(File.pathSeparator, parts);
	}

}
