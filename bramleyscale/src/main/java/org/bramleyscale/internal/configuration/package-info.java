/**
 * The register and the rules: checked, accepted, spread, and never reverted.
 *
 * <p>
 * <b>Storage.</b> There is one linear sequence of versions. The object
 * {@code configuration/head} names the newest one; its conditional update is the only
 * thing that makes a version. The content lies in parts, objects that never change, each
 * with the entries whose names hash to one bucket, so that a change rewrites few of them.
 * The head remembers the ids of the last changes, which settles lost replies and makes
 * repeated changes idempotent.
 *
 * <p>
 * <b>Spreading.</b> The relays of each data centre hold a waiting watch on the head. Who
 * gets a version passes the difference on to a few others, once. Each second every daemon
 * asks one or two others what they hold; that closes every gap and carries the platform's
 * confirmations, with their age, from the relays to everybody.
 *
 * <p>
 * <b>Admission.</b> A daemon acts on the version it holds if it knows that the platform
 * had no later one a few seconds ago, or if it hears a majority of the daemons and nobody
 * heard holds a later one. A change is written only where a majority is heard, and called
 * accepted once a majority (in large fleets, eight others) hold it. Two majorities share
 * a daemon, so a group that lost the platform and goes on has heard of every change
 * accepted before, and none can be accepted without it.
 *
 * <p>
 * <b>What remains.</b> A group without the platform may act on an outdated version for
 * longer than a few seconds if, within the time it takes to notice silent connections,
 * the fleet is split and a change is made on the other side, and one of these holds as
 * well: the answer said that the change hadn't spread; the operator forced the change;
 * every daemon of the group that held the change was restarted since; the fleet is so
 * large that eight others are no majority. The status shows who holds what. A VM whose
 * monotonic clock stands still while it is suspended counts that time as if it hadn't
 * passed. A platform restored from an older copy confirms nothing and takes no changes
 * until its data is back; what the daemons hold stays in force while they hear each
 * other. The parts of a change whose writer died before it could delete the parts it
 * replaced stay in the platform.
 */
package org.bramleyscale.internal.configuration;
