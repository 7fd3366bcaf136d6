package org.bramleyscale.internal.gateway.contention;

/**
 * What a waiting request lacks on the engines. Requests of one need don't block those of
 * another.
 */
public enum Need {

	/** A slot, and no more memory than each slot's share of its engine. */
	SLOT,

	/** More memory than a slot's share, on engines for short prompts. */
	MEMORY,

	/** Memory and prefill time on the engines for long prompts. */
	LONG_LANE

}
