/*
 * The slots of one target, handed out by the owner of its group.
 *
 * Hosts ask for slots and use those that they are granted; they report what they have in flight. Grants
 * are numbered. Questions, answers and reports may get lost, come twice and overtake each other. The
 * owner may be replaced once by one that knows nothing.
 *
 * What must hold: once all hosts have reported to it, an owner never counts less than hosts have in
 * flight. So a slot that it calls free is free, and an item never enters one that a caller has.
 */
#define HOSTS 2
#define REQUESTS 3        /* request r is of host r % 2; the last one is an item of a job */
#define SLOTS 2
#define REPORTS 3

mtype = { idle, asking, using, done };

mtype state[REQUESTS] = idle;
byte answer[REQUESTS];    /* the grant on its way to a request, 0 for none */
byte sent_by[REQUESTS];   /* the owner that sent it */
byte seen[HOSTS];         /* the last grant of the present owner that a host has */
byte told_seen[HOSTS];    /* the same in its last report */
byte sequence[HOSTS];
bool moving[REPORTS];     /* reports on their way, two of host 0 and one of host 1 */
byte moving_loads[REPORTS], moving_seen[REPORTS], moving_sequence[REPORTS];

byte owner = 1;
byte known_owner[HOSTS] = 1;
bool settled = true;
bool told[HOSTS] = true;
byte pending[REQUESTS];   /* the number of a grant that no report confirms, 0 for none */
byte loads[HOSTS];
byte taken_sequence[HOSTS];
byte last_grant = 0;

inline count_held() {
  held = loads[0] + loads[1]; k = 0;
  do :: k < REQUESTS -> held = held + (pending[k] > 0 -> 1 : 0); k++ :: else -> break od
}

inline count_used(here) {
  used = 0; k = 0;
  do
  :: k < REQUESTS ->
       used = used + (state[k] == using && (here == HOSTS || k % 2 == here) -> 1 : 0); k++
  :: else -> break
  od
}

inline check() {
  count_held(); count_used(HOSTS);
  assert(!settled || held >= used)
}

/* values left behind would tell states apart that are the same */
inline reset() { r = 0; h = 0; m = 0; k = 0; held = 0; used = 0 }

active proctype system() {
  byte r, h, m, k, held, used;
  do
  /* a request asks; its question may come twice */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if
       :: state[r] == idle || state[r] == asking ->
            h = r % 2; state[r] = asking; count_held();
            if
            :: known_owner[h] == owner && held < SLOTS && pending[r] == 0 && answer[r] == 0 &&
               (r < 2 || settled) ->
                 last_grant++; pending[r] = last_grant;
                 answer[r] = last_grant; sent_by[r] = owner
            :: else
            fi
       :: else
       fi;
       reset()
     }
  /* the answer arrives, or gets lost */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if
       :: answer[r] > 0 ->
            h = r % 2;
            if
            :: state[r] == asking && sent_by[r] == owner && known_owner[h] == owner &&
#ifndef MUTANT_USES_AN_OVERTAKEN_GRANT
               answer[r] > told_seen[h] &&
#endif
               true -> state[r] = using; seen[h] = (answer[r] > seen[h] -> answer[r] : seen[h])
            :: state[r] == asking -> state[r] = done
            :: true -> if :: state[r] == asking -> state[r] = done :: else fi
            fi;
            answer[r] = 0; check()
       :: else
       fi;
       reset()
     }
  /* work ends */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if :: state[r] == using -> state[r] = done :: else fi
       reset()
     }
  /* a host reports */
  :: atomic { if :: m = 0 :: m = 1 :: m = 2 fi; h = m / 2;
       if
       :: !moving[m] && sequence[h] < 2 && known_owner[h] == owner ->
            count_used(h); sequence[h]++;
            moving[m] = true; moving_loads[m] = used; moving_seen[m] = seen[h];
            moving_sequence[m] = sequence[h]; told_seen[h] = seen[h]
       :: else
       fi;
       reset()
     }
  /* a report arrives, or gets lost; it may come again */
  :: atomic { m = 0; do :: m < REPORTS - 1 -> m++ :: break od;
       if
       :: moving[m] ->
            h = m / 2;
            if :: moving[m] = false :: true fi;
            if
            ::
#ifndef MUTANT_TAKES_OLD_REPORTS
               moving_sequence[m] > taken_sequence[h] &&
#endif
               true ->
                 taken_sequence[h] = moving_sequence[m];
                 loads[h] = moving_loads[m]; told[h] = true;
                 r = 0;
                 do
                 :: r < REQUESTS ->
                      if
                      :: r % 2 == h && pending[r] > 0 &&
#ifndef MUTANT_FORGETS_GRANTS
                         pending[r] <= moving_seen[m] &&
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
  /* a grant that came to nothing is forgotten: its request no longer waits */
  :: atomic { r = 0; do :: r < REQUESTS - 1 -> r++ :: break od;
       if :: pending[r] > 0 && state[r] == done && answer[r] == 0 -> pending[r] = 0 :: else fi
       reset()
     }
  /* another host becomes the owner; reports to the one before are void */
  :: atomic { owner == 1 ->
       owner = 2; settled = false;
#ifdef MUTANT_SETTLES_AT_ONCE
       settled = true;
#endif
       h = 0;
       do
       :: h < HOSTS ->
            told[h] = false; loads[h] = 0; seen[h] = 0; told_seen[h] = 0; h++
       :: else -> break
       od;
       r = 0; do :: r < REQUESTS -> pending[r] = 0; r++ :: else -> break od; r = 0;
       m = 0; do :: m < REPORTS -> moving[m] = false; m++ :: else -> break od; m = 0;
       check()
       reset()
     }
  /* a host learns of it */
  :: atomic { if :: h = 0 :: h = 1 fi; known_owner[h] = owner; reset() }
  /* all have reported, and what the owner before granted is used or was given up */
  :: atomic { !settled && told[0] && told[1] -> settled = true; check(); reset() }
  od
}
