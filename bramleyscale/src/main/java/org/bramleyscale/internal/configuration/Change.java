package org.bramleyscale.internal.configuration;

import java.util.Optional;
import java.util.regex.Pattern;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * A change that an operator asks for.
 *
 * <p>
 * The id makes the change idempotent: whoever doesn't know whether it took effect repeats
 * it with the same id. Immutable and safe for use by multiple threads.
 *
 * @param id chosen by the operator's program, different for each change
 * @param base the version that the change was made from
 * @param author who makes it
 * @param register the new register, or empty to keep the base's
 * @param rules the new rules, or empty to keep the base's
 * @param force whether to accept it although most daemons can't be heard
 */
public record Change(String id, long base, String author, Optional<Register> register, Optional<Rules> rules,
		boolean force) {

	private static final Pattern ID = Pattern.compile("[A-Za-z0-9._-]{8,64}");

	private static final Pattern AUTHOR = Pattern.compile("[^\\p{Cntrl}]{1,64}");

	public Change {
		if (id == null || !ID.matcher(id).matches()) {
			throw new IllegalArgumentException(
					"change id '" + id + "' must be 8 to 64 letters, digits, '.', '_' or '-'");
		}
		if (base < 0) {
			throw new IllegalArgumentException("base version must not be negative, was " + base);
		}
		if (author == null || !AUTHOR.matcher(author).matches()) {
			throw new IllegalArgumentException("author '" + author + "' must be 1 to 64 printable characters");
		}
		if (register.isEmpty() && rules.isEmpty()) {
			throw new IllegalArgumentException("change '" + id + "' has neither register nor rules");
		}
	}

	/**
	 * A change of the register alone.
	 * @param id the change's id
	 * @param base the version that it was made from
	 * @param author who makes it
	 * @param register the new register
	 * @return the change
	 */
	public static Change of(String id, long base, String author, Register register) {
		return new Change(id, base, author, Optional.of(register), Optional.empty(), false);
	}

	/**
	 * A change of the rules alone.
	 * @param id the change's id
	 * @param base the version that it was made from
	 * @param author who makes it
	 * @param rules the new rules
	 * @return the change
	 */
	public static Change of(String id, long base, String author, Rules rules) {
		return new Change(id, base, author, Optional.empty(), Optional.of(rules), false);
	}

	/**
	 * The same change, accepted even when most daemons can't be heard.
	 * @return the change with force
	 */
	public Change forced() {
		return new Change(this.id, this.base, this.author, this.register, this.rules, true);
	}

	/**
	 * Tells changes with the same id apart.
	 * @return a hash over all that the change asks for
	 */
	long fingerprint() {
		Hasher hasher = Hashing.sha256().newHasher().putLong(this.base).putUnencodedChars(this.author);
		hasher.putBoolean(this.register.isPresent());
		this.register.ifPresent((given) -> ConfigurationAssembly.entries(given)
			.forEach((entry) -> hasher.putBytes(ConfigurationCodec.encode(entry))));
		hasher.putBoolean(this.rules.isPresent());
		this.rules.ifPresent((given) -> ConfigurationAssembly.entries(given)
			.sorted((left, right) -> left.key().compareTo(right.key()))
			.forEach((entry) -> hasher.putBytes(ConfigurationCodec.encode(entry))));
		return hasher.hash().asLong();
	}

}
