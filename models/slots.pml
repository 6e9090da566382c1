/*
 * Checks how the owner of a group grants the slots of one target.
 *
 * Hosts request slots, use those that they are granted, and report how many requests they have in flight.
 * Grants are numbered.
 *
 * Assumptions: slot requests, slot responses and reports are lost, arrive twice and overtake each other.
 * The owner is replaced at most once, by one that starts without any state.
 *
 * What must hold: once all hosts have reported to an owner, it never counts fewer requests than the hosts
 * have in flight. So a slot that it counts as free is free, and an item never takes the slot of a caller's
 * request.
 */
#define HOSTS 2
#define REQUESTS 3  /* request r is from host r % 2; the last one is an item of a job */
#define SLOTS 2
#define REPORTS 3

mtype = { idle, requesting, running, finished };

mtype state[REQUESTS] = idle;
byte response[REQUESTS];        /* the grant in flight to a request, 0 for none */
byte response_owner[REQUESTS];  /* the owner that sent it */
byte received_grant[HOSTS];     /* the latest grant of the current owner that a host has received */
byte reported_grant[HOSTS];     /* the same in its latest report */
byte sequence[HOSTS];
bool report_in_flight[REPORTS];  /* two of host 0 and one of host 1 */
byte report_load[REPORTS], report_grant[REPORTS], report_sequence[REPORTS];

byte owner = 1;
byte known_owner[HOSTS] = 1;
bool settled = true;
bool reported[HOSTS] = true;
byte pending[REQUESTS];  /* the number of a grant that no report has confirmed, 0 for none */
byte loads[HOSTS];
byte applied_sequence[HOSTS];
byte last_grant = 0;

inline count_held() {
  held = loads[0] + loads[1]; k = 0;
  do :: k < REQUESTS -> held = held + (pending[k] > 0 -> 1 : 0); k++ :: else -> break od
}

inline count_used(here) {
  used = 0; k = 0;
  do
  :: k < REQUESTS ->
       used = used + (state[k] == running && (here == HOSTS || k % 2 == here) -> 1 : 0); k++
  :: else -> break
  od
}

inline check() {
  count_held(); count_used(HOSTS);
  assert(!settled || held >= used)
}

/* left-over values of local variables would make equal states differ */
inline reset() { r = 0; h = 0; m = 0; k = 0; held = 0; used = 0 }

active proctype system() {
  byte r, h, m, k, held, used;
  do
  /* a request asks for a slot; its slot request may arrive twice */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if
       :: state[r] == idle || state[r] == requesting ->
            h = r % 2; state[r] = requesting; count_held();
            if
            :: known_owner[h] == owner && held < SLOTS && pending[r] == 0 && response[r] == 0 &&
               (r < 2 || settled) ->
                 last_grant++; pending[r] = last_grant;
                 response[r] = last_grant; response_owner[r] = owner
            :: else
            fi
       :: else
       fi;
       reset()
     }
  /* the slot response arrives, or is lost */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if
       :: response[r] > 0 ->
            h = r % 2;
            if
            :: state[r] == requesting && response_owner[r] == owner && known_owner[h] == owner &&
               /* Mutant: a host uses a grant that arrives after a report which made the
                  owner count the grant as received, so the slot is counted as free. */
#ifndef MUTANT_USES_OVERTAKEN_GRANT
               response[r] > reported_grant[h] &&
#endif
               true -> state[r] = running;
               received_grant[h] = (response[r] > received_grant[h] -> response[r] : received_grant[h])
            :: state[r] == requesting -> state[r] = finished
            :: true -> if :: state[r] == requesting -> state[r] = finished :: else fi
            fi;
            response[r] = 0; check()
       :: else
       fi;
       reset()
     }
  /* a request finishes */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if :: state[r] == running -> state[r] = finished :: else fi
       reset()
     }
  /* a host reports */
  :: atomic { if :: m = 0 :: m = 1 :: m = 2 fi; h = m / 2;
       if
       :: !report_in_flight[m] && sequence[h] < 2 && known_owner[h] == owner ->
            count_used(h); sequence[h]++;
            report_in_flight[m] = true; report_load[m] = used; report_grant[m] = received_grant[h];
            report_sequence[m] = sequence[h]; reported_grant[h] = received_grant[h]
       :: else
       fi;
       reset()
     }
  /* a report arrives, or is lost; it may arrive again */
  :: atomic { m = 0; do :: m < REPORTS - 1 -> m++ :: break od;
       if
       :: report_in_flight[m] ->
            h = m / 2;
            if :: report_in_flight[m] = false :: true fi;
            if
            ::
               /* Mutant: the owner applies a report that was overtaken by a newer one. */
#ifndef MUTANT_ACCEPTS_STALE_REPORTS
               report_sequence[m] > applied_sequence[h] &&
#endif
               true ->
                 applied_sequence[h] = report_sequence[m];
                 loads[h] = report_load[m]; reported[h] = true;
                 r = 0;
                 do
                 :: r < REQUESTS ->
                      if
                      :: r % 2 == h && pending[r] > 0 &&
                         /* Mutant: any report of a host removes its pending grants, also
                            those that the host had not received. */
#ifndef MUTANT_DROPS_UNCONFIRMED_GRANTS
                         pending[r] <= report_grant[m] &&
#endif
                         true -> pending[r] = 0
                      :: else
                      fi;
                      r++
                 :: else -> break
                 od;
                 r = 0
            :: else
            fi;
            check()
       :: else
       fi;
       reset()
     }
  /* an unused grant is removed: its request no longer waits */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if :: pending[r] > 0 && state[r] == finished && response[r] == 0 -> pending[r] = 0 :: else fi
       reset()
     }
  /* another host becomes the owner; reports to the former owner are discarded */
  :: atomic { owner == 1 ->
       owner = 2; settled = false;
       /* Mutant: a new owner trusts its counts before the hosts have reported to it. */
#ifdef MUTANT_SETTLES_WITHOUT_REPORTS
       settled = true;
#endif
       h = 0;
       do
       :: h < HOSTS ->
            reported[h] = false; loads[h] = 0; received_grant[h] = 0; reported_grant[h] = 0; h++
       :: else -> break
       od;
       r = 0; do :: r < REQUESTS -> pending[r] = 0; r++ :: else -> break od; r = 0;
       m = 0; do :: m < REPORTS -> report_in_flight[m] = false; m++ :: else -> break od; m = 0;
       check()
       reset()
     }
  /* a host learns of the new owner */
  :: atomic { if :: h = 0 :: h = 1 fi; known_owner[h] = owner; reset() }
  /* all hosts have reported; grants of the former owner are in use or were abandoned */
  :: atomic { !settled && reported[0] && reported[1] -> settled = true; check(); reset() }
  od
}
