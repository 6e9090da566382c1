/*
 * The rate of one cold target, handed out by hosts that own its group in turn.
 *
 * Time goes in half seconds. The ownership moves from host to host at any time. The host that lost it is
 * still asked for a second by hosts that have not heard of it. A host that gets it waits two seconds
 * before it hands out its share. Hosts that disagree for long may have two owners at once; and a host
 * that reaches no owner sends alone, if rendezvous drew it.
 *
 * What must hold: in any second the target gets no more than it bears.
 */
#define HOSTS 4
#define SHARE 2            /* requests in a second that an owner hands out */
#define ALONE 1            /* hosts that may send alone, one request in a second each */
#define BORNE 5            /* two shares and what hosts send alone */
#define ASKED_FOR 2        /* half seconds for which a former owner is still asked */
#define WAIT 4             /* half seconds before a new owner hands out */

byte now_sent[HOSTS], last_sent[HOSTS];   /* in this half second, and in the one before */
byte owned_for[HOSTS] = WAIT;             /* half seconds since the ownership began, up to WAIT */
byte asked[HOSTS];                        /* half seconds for which it is asked after its loss */
byte owner = 0, second = HOSTS;           /* the owner; another one, for hosts that disagree */
byte sum, h, moves = 0;

inline check() {
  sum = 0; h = 0;
  do
  :: h < HOSTS -> sum = sum + now_sent[h] + last_sent[h]; h++
  :: else -> break
  od;
  h = 0;
  assert(sum <= BORNE)
}

inline tick() {
  h = 0;
  do
  :: h < HOSTS ->
       last_sent[h] = now_sent[h]; now_sent[h] = 0;
       if :: asked[h] > 0 -> asked[h]-- :: else fi;
       if
       :: (h == owner || h == second) && owned_for[h] < WAIT -> owned_for[h]++
       :: else
       fi;
       h++
  :: else -> break
  od;
  h = 0
}

/* `next` gets what `before` loses */
inline move(before, next) {
  asked[before] = ASKED_FOR;
  asked[next] = 0;
  owned_for[next] = 0;
#ifdef MUTANT_HANDS_OUT_AT_ONCE
  owned_for[next] = WAIT;
#endif
}

active proctype fleet() {
  byte next;
  do
  :: atomic { tick() }
  /* the ownership moves */
  :: atomic { moves < 3 ->
       if :: next = 1 :: next = 2 fi;
       if
       :: next != owner && next != second -> move(owner, next); owner = next; moves++
       :: else
       fi;
       next = 0
     }
  /* some hosts see another owner than the others, and for how long is not known */
  :: atomic { second == HOSTS && owner != 3 -> second = 3; owned_for[3] = 0;
#ifdef MUTANT_HANDS_OUT_AT_ONCE
       owned_for[3] = WAIT;
#endif
     }
  :: atomic { second == 3 -> second = HOSTS; asked[3] = ASKED_FOR }
  /* an owner, or one that is still asked, hands out a request */
  :: atomic {
       if :: next = 0 :: next = 1 :: next = 2 :: next = 3 fi;
       if
       :: (next == owner || next == second || asked[next] > 0) &&
#ifdef MUTANT_WAITS_FOR_ONE_SECOND
          owned_for[next] >= WAIT / 2 &&
#else
          owned_for[next] >= WAIT &&
#endif
#ifdef MUTANT_HANDS_OUT_ALL
          now_sent[next] + last_sent[next] < BORNE ->
#else
          now_sent[next] + last_sent[next] < SHARE ->
#endif
            now_sent[next]++; check()
       :: else
       fi;
       next = 0
     }
  /* a host that reaches no owner sends alone */
  :: atomic {
       if :: next = 0 :: next = 1 :: next = 2 :: next = 3 fi;
       if
       :: next != owner && next != second && asked[next] == 0 &&
#ifndef MUTANT_EVERYBODY_SENDS_ALONE
          next < ALONE &&
#endif
          now_sent[next] + last_sent[next] < 1 -> now_sent[next]++; check()
       :: else
       fi;
       next = 0
     }
  od
}
