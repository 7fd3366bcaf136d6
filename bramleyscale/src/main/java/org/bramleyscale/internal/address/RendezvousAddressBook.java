package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * Gives each client account the entries that rank first for it.
 *
 * <p>
 * Invariants: any two daemons with the same view give the same answer, so that an
 * account's limits and request records meet on few daemons; a leaving or dead entry is in
 * no answer made after the view changed; a suspect entry stands behind all alive ones; an
 * answer with more than one entry names at least two data centres if two have alive
 * entries. Confined to the scheduler's thread.
 */
public final class RendezvousAddressBook implements AddressBook {

	/** How long callers may keep an answer unless set otherwise. */
	public static final Duration DEFAULT_KEEP_FOR = Duration.ofSeconds(10);

	/** How many entries an account gets whose rule doesn't say. */
	public static final int DEFAULT_ENTRIES = 2;

	private static final int MOST_CACHED = 20_000;

	private final MembershipView membership;

	private final ConfigurationSource configuration;

	private final Duration keepFor;

	private final RendezvousHash<Member> hash = new RendezvousHash<>((member) -> member.vm().value());

	private final Map<ClientAccountId, AddressAnswer> cache = new HashMap<>();

	public RendezvousAddressBook(MembershipView membership, ConfigurationSource configuration, Duration keepFor) {
		this.membership = membership;
		this.configuration = configuration;
		this.keepFor = keepFor;
		membership.onChange(this.cache::clear);
		configuration.onChange((changed) -> this.cache.clear());
	}

	@Override
	public AddressAnswer addresses(ClientAccountId account) {
		AddressAnswer cached = this.cache.get(account);
		if (cached != null) {
			return cached;
		}
		AddressAnswer answer = compute(account);
		if (this.cache.size() >= MOST_CACHED) {
			this.cache.clear();
		}
		this.cache.put(account, answer);
		return answer;
	}

	private AddressAnswer compute(ClientAccountId account) {
		List<Member> ranked = rank(account);
		List<Member> chosen = new ArrayList<>(ranked.subList(0, Math.min(count(account), ranked.size())));
		spread(chosen, ranked);
		return new AddressAnswer(chosen.stream().map(RendezvousAddressBook::entry).toList(), this.keepFor);
	}

	private int count(ClientAccountId account) {
		Optional<AccountRule> rule = this.configuration.current().account(account);
		return rule.map(AccountRule::entries).filter((entries) -> entries > 0).orElse(DEFAULT_ENTRIES);
	}

	private List<Member> rank(ClientAccountId account) {
		List<Member> alive = new ArrayList<>();
		List<Member> suspect = new ArrayList<>();
		for (Member member : this.membership.eligible()) {
			((member.state() == Member.State.ALIVE) ? alive : suspect).add(member);
		}
		List<Member> ranked = this.hash.ranked(account.value(), alive);
		ranked.addAll(this.hash.ranked(account.value(), suspect));
		return ranked;
	}

	/**
	 * Puts an entry of another data centre in the last place if all are of one. An
	 * account whose entries all stand in one data centre would lose every address at once
	 * when that data centre is cut off.
	 * @param chosen the entries chosen
	 * @param ranked all entries in rank order
	 */
	private void spread(List<Member> chosen, List<Member> ranked) {
		Set<DataCentre> dataCentres = new HashSet<>();
		chosen.forEach((member) -> dataCentres.add(member.dataCentre()));
		if (chosen.size() < 2 || dataCentres.size() > 1) {
			return;
		}
		int last = chosen.size() - 1;
		ranked.stream()
			.filter((member) -> !dataCentres.contains(member.dataCentre()))
			.filter((member) -> member.state().compareTo(chosen.get(last).state()) <= 0)
			.findFirst()
			.ifPresent((member) -> chosen.set(last, member));
	}

	private static AddressAnswer.Entry entry(Member member) {
		return new AddressAnswer.Entry(member.httpAddress(), member.incarnation().toString(),
				member.dataCentre().value());
	}

}
