package org.bramleyscale.internal.request.life;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.bramleyscale.Ran;

class RequestLifeTests {

	@Property(seed = "4711")
	void invariantsHoldForAnyEventOrder(@ForAll("events") List<LifeEvent> events) {
		RequestLife life = new RequestLife(Ran.NO);
		boolean sent = false;
		for (LifeEvent event : events) {
			Ran settledBefore = life.settledRan();
			long offsetBefore = life.offset();
			RequestState stateBefore = life.state();
			Outcome outcomeBefore = life.outcome().orElse(null);
			boolean applied = life.apply(event);
			sent |= applied && event instanceof LifeEvent.Sent;
			Truth.assertThat(applied && stateBefore == RequestState.ENDED).isFalse();
			Truth.assertThat(life.outcome().isPresent()).isEqualTo(life.state() == RequestState.ENDED);
			if (outcomeBefore != null) {
				Truth.assertThat(life.outcome()).hasValue(outcomeBefore);
			}
			Truth.assertThat(strength(life.settledRan())).isAtLeast(strength(settledBefore));
			Truth.assertThat(sent || life.ran() == Ran.NO).isTrue();
			long tokens = (applied && event instanceof LifeEvent.Frame frame) ? frame.tokens() : 0;
			Truth.assertThat(life.offset()).isEqualTo(offsetBefore + tokens);
			Truth.assertThat(life.offset() == 0 || life.ran() == Ran.YES).isTrue();
		}
		life.apply(new LifeEvent.Refused());
		life.apply(new LifeEvent.Failed());
		Truth.assertThat(life.ended()).isTrue();
		Truth.assertThat(life.ran()).isEqualTo(life.settledRan());
	}

	@Provide
	Arbitrary<List<LifeEvent>> events() {
		Arbitrary<LifeEvent> simple = Arbitraries.<LifeEvent>of(new LifeEvent.Admitted(), new LifeEvent.Queued(),
				new LifeEvent.Sent(), new LifeEvent.Sent(), new LifeEvent.Completed(), new LifeEvent.Failed(),
				new LifeEvent.Refused());
		Arbitrary<LifeEvent> lost = Arbitraries.of(Ran.class).<LifeEvent>map(LifeEvent.AttemptLost::new);
		Arbitrary<LifeEvent> frames = Combinators
			.combine(Arbitraries.longs().between(0, 2), Arbitraries.integers().between(0, 2))
			.as(LifeEvent.Frame::new);
		Arbitrary<List<LifeEvent>> rest = Arbitraries
			.<LifeEvent>frequencyOf(Tuple.of(2, simple), Tuple.of(1, lost), Tuple.of(2, frames))
			.list()
			.ofMaxSize(30);
		return rest.map(RequestLifeTests::admittedFirst);
	}

	private static List<LifeEvent> admittedFirst(List<LifeEvent> events) {
		if (events.size() % 3 == 0) {
			return events;
		}
		List<LifeEvent> all = new ArrayList<>(List.of(new LifeEvent.Admitted(), new LifeEvent.Queued()));
		all.addAll(events);
		return all;
	}

	private static int strength(Ran ran) {
		return switch (ran) {
			case NO -> 0;
			case UNKNOWN -> 1;
			case YES -> 2;
		};
	}

}
