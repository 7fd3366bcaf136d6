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
 * Selects the entries of each client account by rendezvous hashing.
 *
 * <p>
 * Invariants: any two daemons with the same membership view and configuration give the
 * same answer, so that an account's limits and request records are concentrated on few
 * daemons; a leaving or dead entry is in no answer computed after the view changed; a
 * suspect entry ranks behind all alive ones; an answer with more than one entry includes
 * at least two data centres if two have alive entries. Confined to the scheduler's
 * thread.
 */
public final class RendezvousAddressResolver implements AddressResolver {

	/** How long callers may cache an answer by default. */
	public static final Duration DEFAULT_KEEP_FOR = Duration.ofSeconds(10);

	/** The number of entries of an account whose rule doesn't set one. */
	public static final int DEFAULT_ENTRIES = 2;

	private static final int MAX_CACHED = 20_000;

	private final MembershipView membership;

	private final ConfigurationSource configuration;

	private final Duration keepFor;

	private final RendezvousHash<Member> hash = new RendezvousHash<>((member) -> member.vm().value());

	private final Map<ClientAccountId, AddressAnswer> cache = new HashMap<>();

	public RendezvousAddressResolver(MembershipView membership, ConfigurationSource configuration, Duration keepFor) {
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
		if (this.cache.size() >= MAX_CACHED) {
			this.cache.clear();
		}
		this.cache.put(account, answer);
		return answer;
	}

	private AddressAnswer compute(ClientAccountId account) {
		List<Member> ranked = rank(account);
		List<Member> selected = new ArrayList<>(ranked.subList(0, Math.min(entryCount(account), ranked.size())));
		ensureSecondDataCentre(selected, ranked);
		return new AddressAnswer(selected.stream().map(RendezvousAddressResolver::entry).toList(), this.keepFor);
	}

	private int entryCount(ClientAccountId account) {
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
	 * Replaces the last entry by one of another data centre if all are in the same one.
	 * An account with all entries in one data centre would lose every address at once if
	 * that data centre were partitioned.
	 * @param selected the selected entries
	 * @param ranked all entries in rank order
	 */
	private void ensureSecondDataCentre(List<Member> selected, List<Member> ranked) {
		Set<DataCentre> dataCentres = new HashSet<>();
		selected.forEach((member) -> dataCentres.add(member.dataCentre()));
		if (selected.size() < 2 || dataCentres.size() > 1) {
			return;
		}
		int last = selected.size() - 1;
		ranked.stream()
			.filter((member) -> !dataCentres.contains(member.dataCentre()))
			.filter((member) -> member.state().compareTo(selected.get(last).state()) <= 0)
			.findFirst()
			.ifPresent((member) -> selected.set(last, member));
	}

	private static AddressAnswer.Entry entry(Member member) {
		return new AddressAnswer.Entry(member.httpAddress(), member.incarnation().toString(),
				member.dataCentre().value());
	}

}
