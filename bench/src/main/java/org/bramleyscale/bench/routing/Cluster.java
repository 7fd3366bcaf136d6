package org.bramleyscale.bench.routing;

import java.util.List;

import org.bramleyscale.internal.time.ManualScheduler;

/**
 * What the entries of one run share.
 *
 * @param scheduler the manual clock
 * @param engines the engines
 * @param grants their grants
 * @param groups reservations on groups of them
 * @param plain the plain service
 * @param outcomes where outcomes are noted
 */
record Cluster(ManualScheduler scheduler, List<FakeEngine> engines, FakeGrants grants, FakeGroups groups,
		FakeService plain, Outcomes outcomes) {
}
