package org.bramleyscale.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * Computes hashes that identify requests and prompt prefixes.
 *
 * <p>
 * A prompt, which may have several megabytes, is hashed in blocks to avoid a second copy
 * of it. Stateless and safe for use by multiple threads.
 */
final class Fingerprint {

	/**
	 * The number of leading characters of a prompt that determine prefix affinity: long
	 * enough to distinguish system prompts and manuals, short enough to exclude the
	 * question that follows them.
	 */
	static final int PREFIX_CHARS = 1024;

	private static final int MIN_PREFIX_CHARS = 256;

	private static final int BLOCK_CHARS = 32 * 1024;

	private static final HashFunction FUNCTION = Hashing.murmur3_128();

	private Fingerprint() {
	}

	static HashCode of(GenerateRequest request) {
		Hasher hasher = FUNCTION.newHasher();
		putString(hasher, "generate");
		putString(hasher, request.account().value());
		putString(hasher, request.service().value());
		putString(hasher, request.model().value());
		hasher.putInt(request.maxTokens());
		putString(hasher, request.prompt());
		return hasher.hash();
	}

	static HashCode of(PlainRequest request) {
		Hasher hasher = FUNCTION.newHasher();
		putString(hasher, "call");
		putString(hasher, request.account().value());
		putString(hasher, request.service().value());
		putString(hasher, request.method());
		putString(hasher, request.path());
		for (Map.Entry<String, String> header : new TreeMap<>(request.headers()).entrySet()) {
			if (header.getKey().equalsIgnoreCase("content-type")) {
				putString(hasher, header.getValue());
			}
		}
		hasher.putBytes(request.body());
		return hasher.hash();
	}

	/**
	 * Returns the hash of a prompt's prefix.
	 * @param prompt the prompt
	 * @return the hash, or 0 if the prompt is too short for sharing its prefix to be
	 * worthwhile
	 */
	static long prefix(String prompt) {
		int length = prefixLength(prompt);
		if (length == 0) {
			return 0;
		}
		return FUNCTION.hashBytes(prompt.substring(0, length).getBytes(StandardCharsets.UTF_8)).asLong();
	}

	static int prefixLength(String prompt) {
		int length = Math.min(prompt.length(), PREFIX_CHARS);
		return length - length % MIN_PREFIX_CHARS;
	}

	private static void putString(Hasher hasher, String text) {
		hasher.putInt(text.length());
		int from = 0;
		while (from < text.length()) {
			int to = blockEnd(text, from);
			hasher.putBytes(text.substring(from, to).getBytes(StandardCharsets.UTF_8));
			from = to;
		}
	}

	private static int blockEnd(String text, int from) {
		int end = Math.min(text.length(), from + BLOCK_CHARS);
		boolean splitsSurrogatePair = end < text.length() && Character.isHighSurrogate(text.charAt(end - 1));
		return (splitsSurrogatePair) ? end + 1 : end;
	}

}
