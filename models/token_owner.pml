/*
 * Checks that a team's tokens are not granted again when another host becomes their owner.
 *
 * Host 0 owns the team and grants tokens to requesting hosts. Heartbeats report their admissions to the other
 * owner later. At any moment some requesting hosts turn to host 1, because host 0 does not respond to them or
 * has ended; others may still request from host 0. While host 0 can own teams, or could until recently, host 1
 * is a new owner: it grants no more than a process that has just started.
 *
 * Assumptions: heartbeats report all grants within the time for which host 1 remains a new owner. A response
 * of host 0 that is lost leaves its token unused. Tokens that are added meanwhile are left out.
 *
 * What must hold: all tokens granted are at most the burst and the start level of a new owner.
 */
#define BURST 5
#define START 2

byte granted[2];
byte reported[2];    /* reported[i]: grants of the other owner that heartbeats reported to host i */
byte as_new = 0;     /* tokens granted by host 1 as a new owner */
bool is_new = true;  /* host 1 is a new owner */
bool ended = false;  /* host 0 was killed */

#define TOTAL (granted[0] + granted[1])

active proctype system() {
end:
  do
  /* host 0 grants a token */
  :: atomic { !ended && granted[0] + reported[0] < BURST -> granted[0]++; assert(TOTAL <= BURST + START) }
  /* host 1 grants a token */
  :: atomic {
       granted[1] + reported[1] < BURST ->
       /* Mutant: a new owner grants all that its own count leaves, which the earlier owner may have
          granted a moment before. */
#ifndef MUTANT_NEW_OWNER_UNLIMITED
       if
       :: is_new && as_new >= START -> goto refused
       :: else
       fi;
#endif
       if :: is_new -> as_new++ :: else fi;
       granted[1]++;
       assert(TOTAL <= BURST + START);
refused: skip
     }
  /* a heartbeat reports an admission */
  :: atomic { reported[1] < granted[0] -> reported[1]++ }
  :: atomic { reported[0] < granted[1] -> reported[0]++ }
  :: atomic { !ended -> ended = true }
  /* host 0 ended so long ago that heartbeats have reported all its grants */
  :: atomic { is_new && ended && reported[1] == granted[0] -> is_new = false }
  /* Mutant: host 1 takes itself for established while host 0 still grants, or before its last grants were
     reported. */
#ifdef MUTANT_ESTABLISHED_TOO_EARLY
  :: atomic { is_new -> is_new = false }
#endif
  od
}
