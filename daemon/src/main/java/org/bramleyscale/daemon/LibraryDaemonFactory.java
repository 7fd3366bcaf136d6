package org.bramleyscale.daemon;

import java.util.concurrent.atomic.AtomicBoolean;

import org.bramleyscale.Bramleyscale;
import org.bramleyscale.Settings;

/**
 * Makes daemons of the library.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class LibraryDaemonFactory implements DaemonFactory {

	@Override
	public DaemonHandle create(Settings settings) {
		return new LibraryDaemon(Bramleyscale.builder().settings(settings).build());
	}

	/**
	 * One daemon of the library.
	 */
	private static final class LibraryDaemon implements DaemonHandle {

		private final Bramleyscale daemon;

		private final AtomicBoolean killed = new AtomicBoolean();

		private LibraryDaemon(Bramleyscale daemon) {
			this.daemon = daemon;
		}

		@Override
		public String httpAddress() {
			return this.daemon.httpAddress();
		}

		@Override
		public void start() throws Exception {
			this.daemon.start();
		}

		@Override
		public void leave() {
			this.daemon.leave().join();
		}

		@Override
		public void kill() {
			if (this.killed.compareAndSet(false, true)) {
				this.daemon.close();
			}
		}

		@Override
		public void awaitEnd() {
			this.daemon.ended().join();
		}

	}

}
