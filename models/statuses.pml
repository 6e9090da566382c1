/*
 * Checks that the hosts of a large fleet agree on whether one of them is alive, although each hears of it mostly
 * from others.
 *
 * The subject is one host; the others hold a status of it: incarnation, revision, and whether it is silent. A host
 * whose probe the subject does not answer records it as silent at the revision that it knows. Hosts pass statuses on
 * to each other; a higher incarnation or revision replaces a lower one, and at the same revision silent replaces
 * alive. The subject raises its revision when it learns that it is recorded as silent. Its heartbeats may be lost or
 * arrive late.
 *
 * Assumptions: the subject crashes and starts again at most once, with a higher incarnation; probes of a live subject
 * fail at most twice; heartbeats and statuses that were missed are requested later (digests).
 *
 * What must hold: a status never gives way to an older one. Once nothing is left to be passed on, all hosts that
 * learned of the subject know its latest run, and that it is alive exactly if it is.
 */
#define OBSERVERS 3
#define MAX_FAILED_PROBES 2
#define MAX_LATE 2

bool up = true;
byte runs = 1, incarnation = 1, revision = 1, crashes, failed_probes;

byte view_incarnation[OBSERVERS], view_revision[OBSERVERS];
bool view_silent[OBSERVERS];

/* heartbeats that are still under way, and the number of those that were sent */
byte late_incarnation[MAX_LATE], late_revision[MAX_LATE], late, sent;

#define RANK(i, r, s) ((i) * 64 + (r) * 2 + (s))
#define VIEW(o) RANK(view_incarnation[o], view_revision[o], view_silent[o])

inline set_view(o, i, r, s) {
  assert(RANK(i, r, s) > VIEW(o));
  view_incarnation[o] = i; view_revision[o] = r; view_silent[o] = s
}

inline receive_heartbeat(o, i, r) {
  if
#ifdef MUTANT_LATE_HEARTBEAT_COUNTS
  /* Mutant: a late heartbeat of the same incarnation ends a silence that was recorded after it. */
  :: i >= view_incarnation[o] && (i != view_incarnation[o] || r != view_revision[o] || view_silent[o]) ->
#else
  :: i > view_incarnation[o] || (i == view_incarnation[o] && r > view_revision[o]) ->
#endif
       set_view(o, i, r, false)
  :: else
  fi
}

/* Mutant: at the same revision alive replaces silent. A crashed host comes back to life. */
#ifdef MUTANT_ALIVE_REPLACES_SILENT
#define IS_NEWER(other, me) (VIEW(other) / 2 > VIEW(me) / 2 || \
  (VIEW(other) / 2 == VIEW(me) / 2 && VIEW(other) < VIEW(me)))
#else
#define IS_NEWER(other, me) (VIEW(other) > VIEW(me))
#endif

/* Mutant: the subject does not refute a silence at its own revision, and stays silent for the others. */
#ifdef MUTANT_REFUTES_HIGHER_REVISIONS_ONLY
#define MUST_REFUTE(o) (up && view_silent[o] && view_incarnation[o] == incarnation && view_revision[o] > revision)
#else
#define MUST_REFUTE(o) (up && view_silent[o] && view_incarnation[o] == incarnation && view_revision[o] >= revision)
#endif

#define CHECK(o) (view_incarnation[o] == 0 || (view_incarnation[o] == runs && view_silent[o] == !up))

active proctype subject() {
end:
  do
  :: atomic { up && late < MAX_LATE && sent < MAX_LATE ->
       late_incarnation[late] = incarnation; late_revision[late] = revision; late++; sent++ }
  :: atomic { up && crashes == 0 -> up = false; crashes = 1 }
  :: atomic { !up && runs == 1 -> up = true; runs = 2; revision = 1;
       /* Mutant: the subject starts again with the incarnation of its last run. */
#ifndef MUTANT_RESTART_KEEPS_INCARNATION
       incarnation++
#endif
     }
  od
}

active [OBSERVERS] proctype observer() {
  byte me = _pid - 1;
end:
  do
  /* a heartbeat of the subject arrives at once, or late */
  :: atomic { up && RANK(incarnation, revision, 0) > VIEW(me) ->
       receive_heartbeat(me, incarnation, revision) }
  :: atomic { late > 0 -> late--; receive_heartbeat(me, late_incarnation[late], late_revision[late]) }
  /* the subject does not answer a probe */
  :: atomic { view_incarnation[me] > 0 && !view_silent[me] && !up ->
       set_view(me, view_incarnation[me], view_revision[me], true) }
  :: atomic { view_incarnation[me] > 0 && !view_silent[me] && up && failed_probes < MAX_FAILED_PROBES ->
       failed_probes++; set_view(me, view_incarnation[me], view_revision[me], true) }
  /* another host passes its status on */
  :: atomic { IS_NEWER(0, me) -> set_view(me, view_incarnation[0], view_revision[0], view_silent[0]) }
  :: atomic { IS_NEWER(1, me) -> set_view(me, view_incarnation[1], view_revision[1], view_silent[1]) }
  :: atomic { IS_NEWER(2, me) -> set_view(me, view_incarnation[2], view_revision[2], view_silent[2]) }
  /* the subject learns that it is recorded as silent */
  :: atomic { MUST_REFUTE(me) -> revision = view_revision[me] + 1 }
  od
}

/* Nothing is left to be passed on. */
active proctype monitor() {
  timeout -> assert(CHECK(0) && CHECK(1) && CHECK(2))
}
