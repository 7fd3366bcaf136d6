package org.bramleyscale.internal.endpoint;

import org.bramleyscale.DataCentre;

/**
 * A part of a data centre's endpoints that has one owner.
 *
 * <p>
 * The number of shards is part of the identity: when a data centre grows, an endpoint may
 * move to another shard, whose epochs can't be compared with those of the former one.
 * Immutable and safe for use by multiple threads.
 *
 * @param dataCentre the endpoints' data centre
 * @param count how many shards the data centre has; a power of two
 * @param number this shard's number, from 0
 */
public record Shard(DataCentre dataCentre, int count, int number) {

	private static final int COUNT_SHIFT = 16;

	public Shard {
		if (count < 1 || count >= 1 << COUNT_SHIFT) {
			throw new IllegalArgumentException("shard count must be from 1 to 65535, was " + count);
		}
		if (number < 0 || number >= count) {
			throw new IllegalArgumentException("shard number must be from 0 to " + (count - 1) + ", was " + number);
		}
	}

	/**
	 * Reads a code.
	 * @param dataCentre the data centre
	 * @param code what {@link #code()} gave
	 * @return the shard
	 */
	public static Shard of(DataCentre dataCentre, int code) {
		return new Shard(dataCentre, code >>> COUNT_SHIFT, code & (1 << COUNT_SHIFT) - 1);
	}

	/**
	 * The name of the lease under which the shard is owned.
	 * @return the name
	 */
	public String leaseName() {
		return "endpoint-shard-" + this.dataCentre + "-" + this.number;
	}

	/**
	 * Count and number as one integer, for messages that name the endpoint anyway.
	 * @return the code
	 */
	public int code() {
		return (this.count << COUNT_SHIFT) | this.number;
	}

}
