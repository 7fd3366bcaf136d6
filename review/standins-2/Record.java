import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in ms. */
final class Record implements AutoCloseable {

	private final long startedAt = System.nanoTime();

	private final PrintWriter file;

	Record(Path path) throws IOException {
		this.file = new PrintWriter(Files.newBufferedWriter(path));
	}

	long millis() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	synchronized void add(String line) {
		this.file.printf("%7d  %s%n", millis(), line);
	}

	/** Adds a line that is also printed. */
	void report(String line) {
		System.out.println(line);
		add(line);
	}

	@Override
	public synchronized void close() {
		this.file.close();
	}

}
