package org.bramleyscale.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.hash.Hashing;

/**
 * Offered requests of one setting.
 *
 * <p>
 * Prompt lengths follow a Pareto distribution cut off at a million tokens, with one in
 * fifty above a hundred thousand. Offered work counts a repeated beginning once, as if
 * every cache held it. Stateless.
 */
final class Workload {

	static final int ENTRIES = 7;

	static final int ACCOUNTS = 10;

	static final int SHORT_TOKENS = 2_000;

	/** Parts of the requests by account: a few are large. */
	static final double[] ACCOUNT_PARTS = { 0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02 };

	private static final double LARGE_ACCOUNT_PART = 0.1;

	private static final int LARGE_ACCOUNT_ENTRIES = 3;

	private static final int SMALL_ACCOUNT_ENTRIES = 2;

	private static final int SMALLEST_PROMPT = 1_000;

	private static final double LARGEST_RATIO = 1_000;

	/** Makes one prompt in fifty longer than a hundred thousand tokens. */
	private static final double TAIL = Math.log(50) / Math.log(100);

	private static final int TEMPLATES = 4;

	private static final int TEMPLATE_TOKENS = 600;

	private static final int LARGEST_TEMPLATE_PROMPT = 32_768;

	private static final double TEMPLATE_PART = 0.6;

	private static final double REPEATED_DOCUMENT_PART = 0.1;

	private static final double PLAIN_PART = 0.3;

	private static final int SHORT_ANSWER = 80;

	private static final int LONG_ANSWER = 250;

	private static final int ANSWER_LIMIT_FACTOR = 4;

	private static final double SHORT_TIME_SECONDS = 5;

	private static final double LONG_TIME_SECONDS = 20;

	private static final double TIME_PER_WORK = 8;

	private static final double TIME_PER_TOKEN = 1.5;

	private final Setting setting;

	private final RandomGenerator random;

	private final List<List<Integer>> entriesByAccount = new ArrayList<>();

	private Workload(Setting setting, long seed) {
		this.setting = setting;
		this.random = random(seed);
		for (int account = 0; account < ACCOUNTS; account++) {
			this.entriesByAccount.add(entries(account));
		}
	}

	static RandomGenerator random(long seed) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	/**
	 * Makes the arrivals.
	 * @param setting the setting
	 * @param capacity engine seconds of work the engines do a second, in units of the
	 * reference engine
	 * @param reference the engine in whose seconds work is counted
	 * @param seed the seed
	 * @return the arrivals in order
	 */
	static List<Arrival> create(Setting setting, double capacity, EngineProfile reference, long seed) {
		return new Workload(setting, seed).create(capacity, reference);
	}

	/**
	 * The same arrivals at the same times with nothing longer than a limit.
	 * @param arrivals the arrivals
	 * @param largest the longest prompt kept
	 * @return the arrivals kept, renumbered
	 */
	static List<Arrival> upTo(List<Arrival> arrivals, int largest) {
		List<Arrival> kept = new ArrayList<>();
		for (Arrival arrival : arrivals) {
			if (arrival.promptTokens() <= largest) {
				kept.add(arrival.numbered(kept.size()));
			}
		}
		return kept;
	}

	private List<Arrival> create(double capacity, EngineProfile reference) {
		List<Arrival> drafts = new ArrayList<>();
		double work = 0;
		List<long[]> documents = new ArrayList<>();
		for (int i = 0; i < this.setting.requests(); i++) {
			Arrival draft = (this.random.nextDouble() < PLAIN_PART) ? plain(i) : prompt(i, documents, reference);
			drafts.add(draft);
			boolean repeated = draft.prefix() != 0;
			int computed = draft.promptTokens() - (repeated ? draft.prefixTokens() : 0);
			work += draft.plain() ? 0 : reference.workSeconds(computed, draft.answerTokens());
		}
		double span = work / (capacity * this.setting.load());
		return timed(drafts, span);
	}

	private List<Arrival> timed(List<Arrival> drafts, double span) {
		double[] at = new double[drafts.size()];
		double sum = 0;
		for (int i = 0; i < at.length; i++) {
			sum += -Math.log(1 - this.random.nextDouble());
			at[i] = sum;
		}
		List<Arrival> arrivals = new ArrayList<>();
		for (int i = 0; i < at.length; i++) {
			Arrival draft = drafts.get(i);
			arrivals.add(new Arrival(i, (long) (at[i] / sum * span * 1e9), draft.account(), draft.entry(),
					draft.promptTokens(), draft.answerTokens(), draft.maxTokens(), draft.prefix(), draft.prefixTokens(),
					draft.timeLeftNanos()));
		}
		return arrivals;
	}

	private Arrival plain(int number) {
		int account = account();
		return new Arrival(number, 0, account, entry(account), 0, 0, 0, 0, 0, nanos(SHORT_TIME_SECONDS));
	}

	private Arrival prompt(int number, List<long[]> documents, EngineProfile reference) {
		int account = account();
		int tokens = length();
		long prefix = 0;
		int prefixTokens = 0;
		if (tokens <= LARGEST_TEMPLATE_PROMPT) {
			if (this.random.nextDouble() < TEMPLATE_PART) {
				prefix = hash(account * TEMPLATES + this.random.nextInt(TEMPLATES));
				prefixTokens = TEMPLATE_TOKENS;
			}
		}
		else if (!documents.isEmpty() && this.random.nextDouble() < REPEATED_DOCUMENT_PART) {
			long[] document = documents.get(this.random.nextInt(documents.size()));
			prefix = document[0];
			prefixTokens = (int) document[1];
			tokens = prefixTokens + SMALLEST_PROMPT;
		}
		else {
			documents.add(new long[] { hash(1_000_000L + number), tokens });
		}
		int answer = answer(tokens);
		int most = ANSWER_LIMIT_FACTOR * ((tokens <= SHORT_TOKENS) ? SHORT_ANSWER : LONG_ANSWER);
		double base = (tokens <= SHORT_TOKENS) ? SHORT_TIME_SECONDS : LONG_TIME_SECONDS;
		double seconds = base + TIME_PER_WORK * reference.workSeconds(tokens, answer)
				+ most * reference.busyStepSeconds() * TIME_PER_TOKEN;
		return new Arrival(number, 0, account, entry(account), tokens, Math.min(most, answer), most, prefix,
				prefixTokens, nanos(seconds));
	}

	private int length() {
		double highest = Math.pow(LARGEST_RATIO, -TAIL);
		double u = highest + this.random.nextDouble() * (1 - highest);
		return (int) (SMALLEST_PROMPT * Math.pow(u, -1 / TAIL));
	}

	private int answer(int tokens) {
		int mean = (tokens <= SHORT_TOKENS) ? SHORT_ANSWER : LONG_ANSWER;
		return 1 + (int) (-mean * Math.log(1 - this.random.nextDouble()));
	}

	private int account() {
		double u = this.random.nextDouble();
		for (int i = 0; i < ACCOUNTS; i++) {
			u -= ACCOUNT_PARTS[i];
			if (u < 0) {
				return i;
			}
		}
		return ACCOUNTS - 1;
	}

	private int entry(int account) {
		List<Integer> entries = this.entriesByAccount.get(account);
		return entries.get(this.random.nextInt(entries.size()));
	}

	private static List<Integer> entries(int account) {
		List<Integer> all = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			all.add(i);
		}
		all.sort(Comparator.comparingLong((entry) -> hash(account * 1_000L + entry)));
		return all.subList(0,
				(ACCOUNT_PARTS[account] >= LARGE_ACCOUNT_PART) ? LARGE_ACCOUNT_ENTRIES : SMALL_ACCOUNT_ENTRIES);
	}

	private static long hash(long value) {
		return Hashing.murmur3_128().hashLong(value).asLong();
	}

	private static long nanos(double seconds) {
		return (long) (seconds * 1e9);
	}

}
