package org.bramleyscale.internal.endpoint;

import org.bramleyscale.DataCentre;

/**
 * A subset of a data centre's endpoints that has one owner.
 *
 * <p>
 * The number of shards is part of the identity: when a data centre grows, an endpoint may
 * move to another shard, whose epochs can't be compared with those of the former one.
 * Immutable and safe for use by multiple threads.
 *
 * @param dataCentre the endpoints' data centre
 * @param count the data centre's number of shards, a power of two
 * @param number this shard's number, from 0
 */
public record Shard(DataCentre dataCentre, int count, int number) {

	public Shard {
		if (Integer.bitCount(count) != 1 || count < 1) {
			throw new IllegalArgumentException("shard count must be a power of two, was " + count);
		}
		if (number < 0 || number >= count) {
			throw new IllegalArgumentException("shard number must be from 0 to " + (count - 1) + ", was " + number);
		}
	}

	/**
	 * Restores a shard from its code.
	 * @param dataCentre the data centre
	 * @param code the value of {@link #code()}
	 * @return the shard
	 */
	public static Shard of(DataCentre dataCentre, int code) {
		int count = Integer.highestOneBit(code);
		return new Shard(dataCentre, count, code - count);
	}

	/**
	 * Returns the name of the lease under which the shard is owned.
	 * @return the name
	 */
	public String leaseName() {
		return "endpoint-shard-" + this.dataCentre + "-" + this.number;
	}

	/**
	 * Returns count and number encoded in one small integer, for messages that identify
	 * the endpoint anyway.
	 * @return the code
	 */
	public int code() {
		return this.count + this.number;
	}

}
