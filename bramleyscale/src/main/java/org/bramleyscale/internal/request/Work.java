package org.bramleyscale.internal.request;

import java.time.Duration;

import com.google.common.hash.HashCode;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;

/**
 * The work that a request asks for. Immutable and safe for use by multiple threads.
 */
sealed interface Work {

	ClientAccountId account();

	ServiceName service();

	/**
	 * Returns the requested model.
	 * @return the model, or null for a plain service
	 */
	ModelName model();

	boolean repeatable();

	Duration timeLeft();

	HashCode fingerprint();

	/**
	 * A generation by a model.
	 *
	 * @param request the caller's request
	 */
	record Generation(GenerateRequest request) implements Work {

		@Override
		public ClientAccountId account() {
			return this.request.account();
		}

		@Override
		public ServiceName service() {
			return this.request.service();
		}

		@Override
		public ModelName model() {
			return this.request.model();
		}

		@Override
		public boolean repeatable() {
			return this.request.repeatable();
		}

		@Override
		public Duration timeLeft() {
			return this.request.timeLeft();
		}

		@Override
		public HashCode fingerprint() {
			return Fingerprint.of(this.request);
		}

	}

	/**
	 * A call to a plain service.
	 *
	 * @param request the caller's request
	 */
	record Call(PlainRequest request) implements Work {

		@Override
		public ClientAccountId account() {
			return this.request.account();
		}

		@Override
		public ServiceName service() {
			return this.request.service();
		}

		@Override
		public ModelName model() {
			return null;
		}

		@Override
		public boolean repeatable() {
			return this.request.repeatable();
		}

		@Override
		public Duration timeLeft() {
			return this.request.timeLeft();
		}

		@Override
		public HashCode fingerprint() {
			return Fingerprint.of(this.request);
		}

	}

}
