import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Many callers send long prompts to one daemon at once, each within the limits of the
 * configuration, while others make bookings on channels that they keep. Without the
 * trouble, the same prompts are sent a few at a time.
 */
final class UploadBurst {

	private static final int UPLOADS = 45;

	private static final int UPLOAD_BYTES = 1_500_000;

	/** The pieces of an upload, and the time between two of them. */
	private static final int PIECES = 15;

	private static final int PIECE_PAUSE_MILLIS = 100;

	private static final int AT_ONCE_WITHOUT_TROUBLE = 3;

	private static final int BOOKERS = 20;

	private static final int BOOKING_PAUSE_MILLIS = 200;

	private static final int BOOKING_BYTES = 600;

	/** The clients' time limits, and the timeout of the booking route. */
	private static final int UPLOAD_LIMIT_MILLIS = 15_000;

	private static final int BOOKING_LIMIT_MILLIS = 3_000;

	private static final int BOOKING_TIMEOUT_MILLIS = 1_500;

	/** After the route's timeout; from the rules. */
	private static final int SLACK_MILLIS = 500;

	/** The fewest requests that break the rule. */
	private static final int FEWEST = 8;

	private final Record record;

	private final Daemon daemon;

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final List<Long> bookingMillis = new ArrayList<>();

	private final List<String> uploads = new ArrayList<>();

	private UploadBurst(Record record, Daemon daemon) {
		this.record = record;
		this.daemon = daemon;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0])); Fleet fleet = new Fleet(record)) {
			fleet.store.put("config", "main", Config.json(4, Config.LIMITS, Config.TENANTS));
			fleet.addRunners(3, "app", 100, 6, 86);
			fleet.addRunners(14, "llm", 120, 11, 500);
			fleet.startDaemons(3);
			UploadBurst play = new UploadBurst(record, fleet.daemons.get(0));
			status = play.run(trouble) ? 1 : 0;
		}
		catch (Exception ex) {
			System.out.println("couldn't run: " + ex);
		}
		System.exit(status);
	}

	private boolean run(boolean trouble) throws InterruptedException {
		List<Thread> bookers = new ArrayList<>();
		for (int i = 0; i < BOOKERS; i++) {
			bookers.add(started(this::book));
		}
		Thread.sleep(3_000);
		this.record.report(UPLOADS + " prompts of " + UPLOAD_BYTES + " bytes, "
				+ (trouble ? "all at once" : AT_ONCE_WITHOUT_TROUBLE + " at a time"));
		Semaphore turns = new Semaphore(trouble ? UPLOADS : AT_ONCE_WITHOUT_TROUBLE);
		List<Thread> uploaders = new ArrayList<>();
		for (int i = 0; i < UPLOADS; i++) {
			uploaders.add(started(() -> upload(turns)));
		}
		for (Thread uploader : uploaders) {
			uploader.join();
		}
		Thread.sleep(3_000);
		this.stopped.set(true);
		for (Thread booker : bookers) {
			booker.join();
		}
		return judge();
	}

	private static Thread started(Runnable task) {
		Thread thread = new Thread(task);
		thread.start();
		return thread;
	}

	private void upload(Semaphore turns) {
		String attempt = Caller.newAttempt();
		String outcome;
		turns.acquireUninterruptibly();
		try (Caller caller = new Caller(this.daemon)) {
			this.record.add("sent   " + attempt + " prompt of " + UPLOAD_BYTES + " bytes");
			caller.sendHead(Config.STREAM, attempt, Fleet.KEY, UPLOAD_LIMIT_MILLIS,
					"X-Bramleyscale-Model: m\r\nX-Bramleyscale-Token-Usage: 270000,600\r\n"
							+ "X-Bramleyscale-Prompt-Prefix: 5c1e07a2:40," + attempt.substring(8) + ":269960\r\n",
					UPLOAD_BYTES);
			for (int piece = 0; piece < PIECES; piece++) {
				caller.write(new byte[UPLOAD_BYTES / PIECES]);
				Thread.sleep(PIECE_PAUSE_MILLIS);
			}
			outcome = "status " + caller.read(UPLOAD_LIMIT_MILLIS).status();
		}
		catch (IOException | InterruptedException ex) {
			outcome = ex.toString();
		}
		finally {
			turns.release();
		}
		this.record.add("answer " + attempt + " prompt: " + outcome);
		synchronized (this.uploads) {
			this.uploads.add(outcome);
		}
	}

	private void book() {
		Caller caller = null;
		while (!this.stopped.get()) {
			String attempt = Caller.newAttempt();
			String outcome;
			long sentAt = 0;
			try {
				caller = (caller != null) ? caller : new Caller(this.daemon);
				sentAt = this.record.millis();
				this.record.add("sent   " + attempt + " booking");
				caller.sendHead(Config.BOOKING, attempt, Fleet.KEY, BOOKING_LIMIT_MILLIS, "", BOOKING_BYTES);
				caller.write(new byte[BOOKING_BYTES]);
				Message answer = caller.read(BOOKING_LIMIT_MILLIS);
				outcome = "status " + answer.status();
				if (answer.header("Connection").equalsIgnoreCase("close")) {
					caller.close();
					caller = null;
				}
			}
			catch (IOException ex) {
				outcome = ex.toString();
				caller = null;
			}
			long millis = this.record.millis() - sentAt;
			this.record.add("answer " + attempt + " booking after " + millis + " ms: " + outcome);
			if (sentAt > 0) {
				synchronized (this.bookingMillis) {
					this.bookingMillis.add(millis);
				}
			}
			try {
				Thread.sleep(BOOKING_PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private boolean judge() {
		long open = this.bookingMillis.stream().filter((millis) -> millis > BOOKING_TIMEOUT_MILLIS).count();
		long late = this.bookingMillis.stream()
			.filter((millis) -> millis > BOOKING_TIMEOUT_MILLIS + SLACK_MILLIS)
			.count();
		long served = this.uploads.stream().filter("status 200"::equals).count();
		boolean broken = late >= FEWEST && 2 * late > open;
		this.record.report("bookings " + this.bookingMillis.size() + ", unanswered at the route's timeout " + open
				+ ", of these without an answer half a second later " + late + "; prompts served " + served + " of "
				+ UPLOADS);
		this.record.report("daemon alive " + this.daemon.alive() + ", readiness " + this.daemon.readiness());
		this.record.report(broken ? "CONFIG is broken" : "CONFIG holds");
		return broken;
	}

}
