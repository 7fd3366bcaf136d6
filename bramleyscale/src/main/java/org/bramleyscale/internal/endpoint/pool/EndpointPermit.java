package org.bramleyscale.internal.endpoint.pool;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.Permit;

/**
 * A permit for one request, which uses a part of a grant; see {@link Permit}.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class EndpointPermit implements Permit {

	private final EndpointEntry endpoint;

	private final LocalUse use;

	private final LocalUse.Prefill prefill;

	private final Amount amount;

	private final Runnable onClosed;

	private final int generation;

	private boolean open = true;

	EndpointPermit(EndpointState state, Amount amount, int promptTokens, long now, Runnable onClosed) {
		this.endpoint = state.entry();
		this.use = state.use();
		this.amount = amount;
		this.onClosed = onClosed;
		this.generation = this.use.generation();
		this.prefill = this.use.begin(amount, promptTokens, now);
	}

	@Override
	public EndpointEntry endpoint() {
		return this.endpoint;
	}

	@Override
	public void firstTokenReceived() {
		this.use.prefillCompleted(this.prefill);
	}

	@Override
	public void close() {
		if (!this.open) {
			return;
		}
		this.open = false;
		this.use.prefillCompleted(this.prefill);
		this.use.end(this.amount, this.generation);
		this.onClosed.run();
	}

}
